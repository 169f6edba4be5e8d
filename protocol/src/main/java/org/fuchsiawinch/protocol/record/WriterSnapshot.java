package org.fuchsiawinch.protocol.record;

import org.fuchsiawinch.model.NodeId;

/**
 * Last record of a writer in a snapshot, by which duplicates are detected.
 *
 * @param writer the node that wrote the record
 * @param lastSequence sequence number of its last record
 * @param lastMs writer's Unix time in ms of that record
 */
public record WriterSnapshot(NodeId writer, long lastSequence, long lastMs) {}
