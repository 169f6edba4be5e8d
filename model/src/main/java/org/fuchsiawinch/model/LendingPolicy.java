package org.fuchsiawinch.model;

/**
 * Rules for lending unused guaranteed capacity and taking it back.
 *
 * @param enabled whether unused guaranteed capacity is lent at all
 * @param checkpointMs longest time in ms that a checkpoint before a reclaim may take
 * @param reclaimBoundMs longest time in ms from a guaranteed submit to its start on reclaimed capacity
 */
public record LendingPolicy(boolean enabled, long checkpointMs, long reclaimBoundMs) {}
