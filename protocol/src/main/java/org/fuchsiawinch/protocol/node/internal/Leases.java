package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.protocol.node.NodeSettings;

/**
 * Decides whether the owner may still grant leases. It may do so for a bounded time after the last of its heartbeat
 * records that it has read back from the log, and not after a worker has reported a higher epoch. Not thread-safe.
 */
final class Leases {

    private final NodeSettings settings;
    private long grantsEndMs;
    private long leaseEndMs;

    Leases(NodeSettings settings) {
        this.settings = settings;
    }

    /** Starts an epoch whose claim was written at the given Unix time in ms. */
    void begin(long writtenMs) {
        leaseEndMs = Long.MAX_VALUE;
        grantsEndMs = writtenMs + settings.renewHorizonMs();
    }

    /**
     * Extends the right to grant leases after a heartbeat record, written at the given Unix time in ms, was read back.
     */
    void held(long writtenMs) {
        grantsEndMs = Math.max(grantsEndMs, writtenMs + settings.renewHorizonMs());
    }

    /** Ends the right to grant leases, as a worker has received commands of a later owner. */
    void fenced() {
        leaseEndMs = 0;
    }

    /** Ends the right to grant leases one lease duration from now, as the owner is releasing the cell. */
    void endAfterLease(long nowMs) {
        leaseEndMs = Math.min(leaseEndMs, nowMs + settings.leaseMs());
    }

    boolean grantable(long nowMs) {
        return nowMs < leaseEndMs && nowMs <= grantsEndMs;
    }

    /** Returns the Unix time in ms at which a lease granted now ends. */
    long untilMs(long nowMs) {
        return Math.min(leaseEndMs, nowMs + settings.leaseMs());
    }
}
