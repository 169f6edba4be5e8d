package org.fuchsiawinch.protocol.record;

import org.fuchsiawinch.model.NodeId;

/**
 * Idempotency key of a record, independent of its offset, so that an append that is retried after a lost
 * acknowledgement has no second effect.
 *
 * @param writer the node that wrote the record
 * @param sequence the writer's sequence number: 1 for its first record, then rising by 1
 */
public record RecordId(NodeId writer, long sequence) {}
