package org.fuchsiawinch.workflow.owner;

import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Time for which this owner is certain that no other node has claimed the cell. It counts from the sending of the last
 * confirmed append, however late the answer is handled, and ends before the term that the owner's records announce: a
 * claimant has read the newest of them and waits for its term. A worker that has restarted knows no epoch, so that
 * nothing but the end of the term keeps the runs of a former owner off it. Not thread-safe.
 */
final class OwnershipTerm {

    /**
     * Part of the announced term in ms in which nothing is started. Covers a suspension that is too short to be noticed
     * and the way of an order to its worker.
     */
    static final long MARGIN_MS = 600;

    /** Ratio of the certain time to the duration of an append; starts are ordered on its confirmation. */
    private static final double CERTAIN_APPENDS = 1.5;

    /** Term in ms of the newest record that was sent; at first that of the claim. */
    private long announcedMs = CellRecord.Owner.MIN_TERM_MS;

    /** Expected duration in ms of an append. */
    private long appendMs;

    private long certainUntilMs = CellState.NEVER_MS;

    /** Returns the term in ms that an owner's record announces now. */
    long wantedMs() {
        long termMs = CellRecord.Owner.MIN_TERM_MS;
        while (termMs < CellRecord.Owner.MAX_TERM_MS && termMs - MARGIN_MS < CERTAIN_APPENDS * appendMs) {
            termMs *= 2;
        }
        return termMs;
    }

    /** Returns the term in ms that the newest record of this owner announces. */
    long announcedMs() {
        return announcedMs;
    }

    /** Returns whether the announced term no longer fits the duration of appends. */
    boolean announcementDue() {
        return wantedMs() != announcedMs;
    }

    /** Records that the append that is sent now announces the wanted term; a shorter one holds from now on. */
    void announced(long nowMs) {
        announcedMs = wantedMs();
        certainUntilMs = Math.min(certainUntilMs, nowMs + announcedMs - MARGIN_MS);
    }

    /**
     * Handles the confirmation of an append. A single slow one, as in an outage of the store, is soon forgotten.
     *
     * @param sentMs time in ms at which it was first sent; {@link CellState#NEVER_MS} if it proves nothing
     * @param nowMs present time in ms
     */
    void appendStored(long sentMs, long nowMs) {
        if (sentMs == CellState.NEVER_MS) {
            return;
        }
        appendMs = Math.max(nowMs - sentMs, appendMs / 2);
        certainUntilMs = sentMs + announcedMs - MARGIN_MS;
    }

    /** Forgets all confirmations. */
    void end() {
        certainUntilMs = CellState.NEVER_MS;
    }

    /** Returns whether this owner is certain to own the cell. */
    boolean certain(long nowMs) {
        return nowMs <= certainUntilMs;
    }
}
