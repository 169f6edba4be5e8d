package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.protocol.node.NodeSettings;

/**
 * Decides whether the owner may still grant leases. It may for a bounded time after its last sign of life that it read
 * back from the log, and not after a worker has shown it a higher epoch. Not thread-safe.
 */
final class Leases {

    private final NodeSettings settings;
    private long grantsEndMs;
    private long leaseEndMs;

    Leases(NodeSettings settings) {
        this.settings = settings;
    }

    /** Starts an epoch whose claim was written at the given time. */
    void begin(long writtenMs) {
        leaseEndMs = Long.MAX_VALUE;
        grantsEndMs = writtenMs + settings.renewHorizonMs();
    }

    /** Takes a sign of life of this owner that was read back. */
    void held(long writtenMs) {
        grantsEndMs = Math.max(grantsEndMs, writtenMs + settings.renewHorizonMs());
    }

    /** Grants nothing any more: another owner has reached a worker. */
    void fenced() {
        leaseEndMs = 0;
    }

    /** Grants nothing beyond one lease from now: the owner gives the cell up. */
    void endAfterLease(long nowMs) {
        leaseEndMs = Math.min(leaseEndMs, nowMs + settings.leaseMs());
    }

    boolean grantable(long nowMs) {
        return nowMs < leaseEndMs && nowMs <= grantsEndMs;
    }

    /** Gives the end of a lease that is granted now. */
    long untilMs(long nowMs) {
        return Math.min(leaseEndMs, nowMs + settings.leaseMs());
    }
}
