package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.model.WorkerSpec;

/** State of a worker as the cell's owner knows it. Not thread-safe. */
final class WorkerView {

    /** Whether the worker replies to commands. */
    enum Reachability {
        /** Has not replied in this epoch yet. */
        UNSEEN,
        /** Replies. */
        REACHABLE,
        /** Does not reply, but its lease may not have expired. */
        UNREACHABLE,
        /** Does not reply, and its lease has expired. */
        LOST
    }

    private final WorkerSpec spec;
    private Reachability reachability = Reachability.UNSEEN;
    private boolean leaving;
    private boolean repliedInEpoch;
    private long lastRenewalMs;
    private long lastReplyMs;
    private long lastReplyWorkerMs;
    private long leaseUntilMs;

    WorkerView(WorkerSpec spec, long nowMs, long leaseUntilMs) {
        this.spec = spec;
        this.lastReplyMs = nowMs;
        this.leaseUntilMs = leaseUntilMs;
    }

    WorkerSpec spec() {
        return spec;
    }

    Reachability reachability() {
        return reachability;
    }

    void reachability(Reachability newReachability) {
        reachability = newReachability;
    }

    /**
     * Records that the worker replies in this epoch, so that leases of earlier epochs end by the given Unix time in ms.
     */
    void markReachable(long earlierLeasesEndMs) {
        if (reachability == Reachability.UNSEEN || !repliedInEpoch) {
            leaseUntilMs = earlierLeasesEndMs;
        }
        repliedInEpoch = true;
        reachability = Reachability.REACHABLE;
    }

    boolean leaving() {
        return leaving;
    }

    void leaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    boolean renewalDue(long nowMs, long intervalMs) {
        return nowMs - lastRenewalMs >= intervalMs;
    }

    void renewalSent(long nowMs, long grantedUntilMs) {
        lastRenewalMs = nowMs;
        leaseUntilMs = Math.max(leaseUntilMs, grantedUntilMs);
    }

    /**
     * Records a reply, which may have been delayed before it was read. Returns false if a later reply was received
     * before it.
     */
    boolean recordReply(long answeredMs, long driftMs, long nowMs) {
        if (answeredMs < lastReplyWorkerMs) {
            return false;
        }
        lastReplyWorkerMs = answeredMs;
        lastReplyMs = Math.max(lastReplyMs, Math.min(nowMs, answeredMs + driftMs));
        return true;
    }

    boolean silentFor(long nowMs, long boundMs) {
        return nowMs - lastReplyMs > boundMs;
    }

    boolean leaseExpired(long nowMs, long driftMs) {
        return nowMs > leaseUntilMs + driftMs;
    }
}
