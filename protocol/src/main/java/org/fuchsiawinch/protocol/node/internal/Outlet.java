package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.record.RecordId;

/** Where the parts of a node put records and effects. */
public interface Outlet {

    /**
     * Queues a record for the log.
     *
     * @param record the record
     * @param nowMs present time in ms since the epoch
     * @return its id
     */
    RecordId append(LogRecord record, long nowMs);

    /**
     * Emits an effect.
     *
     * @param effect the effect
     */
    void emit(NodeEffect effect);
}
