package org.fuchsiawinch.workflow.cell;

import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Silence after which the owner of the cell counts as dead. A take-over costs time on machines that are slow already,
 * so that a fixed time-out could replace each owner before it has begun. The time-out therefore follows what this node
 * observes: it doubles while owners are missed in quick succession and until a new owner has given its first sign of
 * life, covers the intervals between recent signs of life, and includes the delays of this node itself, so that slower
 * nodes claim after faster ones. It is never shorter than the term of the owner, which starts runs until shortly before
 * its end. On a calm system it is the shortest one. Not thread-safe.
 */
final class OwnerTimeout {

    /** Shortest time-out in ms: three missed heartbeats. */
    static final long MIN_MS = CellRecord.Owner.MIN_TERM_MS;

    /** Longest time-out in ms; bounds the time without an owner after one has died on a slow system. */
    static final long MAX_MS = CellRecord.Owner.MAX_TERM_MS;

    /** Time in ms for which intervals and delays are remembered, and between owners that are missed independently. */
    private static final long MEMORY_MS = 10_000;

    private static final int MAX_DOUBLINGS = 2;

    private final RecentMaximum intervalsMs;
    private final RecentMaximum delaysMs;

    /** Number of owners missed, each within the memory of the last one. */
    private int missedOwners;

    private long lastMissedMs;
    private long termMs = MIN_MS;
    private boolean awaitingSignOfLife;

    /**
     * Creates the shortest time-out.
     *
     * @param nowMs present time in ms
     */
    OwnerTimeout(long nowMs) {
        this.intervalsMs = new RecentMaximum(MEMORY_MS, nowMs);
        this.delaysMs = new RecentMaximum(MEMORY_MS, nowMs);
    }

    /**
     * Records a sign of life of the owner.
     *
     * @param sinceLastMs time in ms since the last one of the same owner
     * @param nowMs present time in ms
     */
    void signOfLife(long sinceLastMs, long nowMs) {
        awaitingSignOfLife = false;
        intervalsMs.add(sinceLastMs, nowMs);
    }

    /**
     * Records the term that the owner has announced with its newest record.
     *
     * @param newTermMs the term in ms
     */
    void term(long newTermMs) {
        termMs = newTermMs;
    }

    /** Allows for the time until the next sign of life: a node has claimed the cell, or the store was away. */
    void awaitSignOfLife() {
        awaitingSignOfLife = true;
    }

    /**
     * Records that a node has taken the cell from an owner that had not released it.
     *
     * @param nowMs present time in ms
     */
    void ownerMissed(long nowMs) {
        missedOwners = calm(nowMs) ? 1 : missedOwners + 1;
        lastMissedMs = nowMs;
    }

    /**
     * Records by how much an action of this node was late.
     *
     * @param delayMs the delay in ms, not negative
     * @param nowMs present time in ms
     */
    void delayed(long delayMs, long nowMs) {
        delaysMs.add(delayMs, nowMs);
    }

    /**
     * Returns the time-out.
     *
     * @param nowMs present time in ms
     * @return the time-out in ms
     */
    long valueMs(long nowMs) {
        int quickChanges = calm(nowMs) ? 0 : missedOwners - 1;
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(quickChanges, awaitingSignOfLife ? 1 : 0));
        long intervalMs = intervalsMs.value(nowMs);
        long expectedMs = Math.max(Math.max(termMs, MIN_MS << doublings), intervalMs + intervalMs / 2);
        return Math.min(MAX_MS, expectedMs + delaysMs.value(nowMs));
    }

    private boolean calm(long nowMs) {
        return missedOwners == 0 || nowMs - lastMissedMs >= MEMORY_MS;
    }
}
