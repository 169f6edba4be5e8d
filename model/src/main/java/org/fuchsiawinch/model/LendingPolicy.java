package org.fuchsiawinch.model;

/**
 * Rules for lending unused guaranteed capacity and reclaiming it.
 *
 * @param enabled whether unused guaranteed capacity is lent
 * @param checkpointMs maximum time in ms of a checkpoint before a reclaim
 * @param reclaimBoundMs maximum time in ms from the submission of guaranteed work to its start on reclaimed capacity
 */
public record LendingPolicy(boolean enabled, long checkpointMs, long reclaimBoundMs) {}
