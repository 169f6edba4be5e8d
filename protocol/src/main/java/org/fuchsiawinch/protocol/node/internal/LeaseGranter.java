package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.protocol.node.NodeSettings;

/**
 * Guard that decides whether the owner may still grant leases. It may do so for a bounded time after the last of its
 * heartbeat records that it has read back from the log, and not after a worker has reported a higher epoch. Not
 * thread-safe.
 */
final class LeaseGranter {

    private final NodeSettings settings;
    private long renewHorizonEndMs;
    private long latestLeaseEndMs;

    LeaseGranter(NodeSettings settings) {
        this.settings = settings;
    }

    /** Starts an epoch whose claim was written at the given Unix time in ms. */
    void beginEpoch(long writtenMs) {
        latestLeaseEndMs = Long.MAX_VALUE;
        renewHorizonEndMs = writtenMs + settings.renewHorizonMs();
    }

    /**
     * Extends the right to grant leases after a heartbeat record, written at the given Unix time in ms, was read back.
     */
    void heartbeatReadBack(long writtenMs) {
        renewHorizonEndMs = Math.max(renewHorizonEndMs, writtenMs + settings.renewHorizonMs());
    }

    /** Ends the right to grant leases, as a worker has received commands of a later owner. */
    void fenced() {
        latestLeaseEndMs = 0;
    }

    /** Ends the right to grant leases one lease duration from now, as the owner is releasing the cell. */
    void stopAfterOneLease(long nowMs) {
        latestLeaseEndMs = Math.min(latestLeaseEndMs, nowMs + settings.leaseMs());
    }

    boolean canGrant(long nowMs) {
        return nowMs < latestLeaseEndMs && nowMs <= renewHorizonEndMs;
    }

    /** Returns the Unix time in ms at which a lease granted now ends. */
    long leaseEndMs(long nowMs) {
        return Math.min(latestLeaseEndMs, nowMs + settings.leaseMs());
    }
}
