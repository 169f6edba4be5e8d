package org.fuchsiawinch.protocol.record;

import org.fuchsiawinch.model.NodeId;

/**
 * Identifies a record independently of its offset, so that an append repeated after a lost answer has no second effect.
 *
 * @param writer the node that wrote it
 * @param sequence rises by 1 with each record of the writer, from 1
 */
public record RecordId(NodeId writer, long sequence) {}
