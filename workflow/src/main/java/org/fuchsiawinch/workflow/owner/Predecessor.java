package org.fuchsiawinch.workflow.owner;

/**
 * The owner before this one, for a claim that followed directly on its last record.
 *
 * @param epoch epoch of its ownership
 * @param lastRecordMs time in ms at which this node read its last record; all its appends were stored before
 * @param countsFromSending whether it counts the silence of the store from the sending of its appends
 */
public record Predecessor(long epoch, long lastRecordMs, boolean countsFromSending) {}
