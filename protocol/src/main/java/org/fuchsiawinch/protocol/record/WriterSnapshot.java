package org.fuchsiawinch.protocol.record;

import org.fuchsiawinch.model.NodeId;

/**
 * A writer in a snapshot.
 *
 * @param writer the writer
 * @param lastSequence sequence of its last record
 * @param lastMs its time in ms since the epoch of that record
 */
public record WriterSnapshot(NodeId writer, long lastSequence, long lastMs) {}
