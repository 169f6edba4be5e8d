package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.record.RecordId;

/** Receiver of the records and effects that the components of a node produce. */
public interface NodeOutput {

    /**
     * Queues a record to be appended to the log.
     *
     * @param record the record
     * @param nowMs current Unix time in ms
     * @return the id of the record
     */
    RecordId append(LogRecord record, long nowMs);

    /**
     * Emits an effect.
     *
     * @param effect the effect
     */
    void emit(NodeEffect effect);
}
