package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.model.WorkerSpec;

/** State of a worker as the cell's owner knows it. Not thread-safe. */
final class WorkerView {

    /** Whether the worker replies to commands. */
    enum Contact {
        /** Has not replied in this epoch yet. */
        UNSEEN,
        /** Replies. */
        REACHED,
        /** Does not reply, but its lease may not have expired. */
        IN_DOUBT,
        /** Does not reply, and its lease has expired. */
        LOST
    }

    private final WorkerSpec spec;
    private Contact contact = Contact.UNSEEN;
    private boolean leaving;
    private boolean seen;
    private long lastSentMs;
    private long lastReplyMs;
    private long lastAnsweredMs;
    private long leaseUntilMs;

    WorkerView(WorkerSpec spec, long nowMs, long leaseUntilMs) {
        this.spec = spec;
        this.lastReplyMs = nowMs;
        this.leaseUntilMs = leaseUntilMs;
    }

    WorkerSpec spec() {
        return spec;
    }

    Contact contact() {
        return contact;
    }

    void contact(Contact value) {
        contact = value;
    }

    /**
     * Records that the worker replies in this epoch, so that leases of earlier epochs end by the given Unix time in ms.
     */
    void reached(long earlierLeasesEndMs) {
        if (contact == Contact.UNSEEN || !seen) {
            leaseUntilMs = earlierLeasesEndMs;
        }
        seen = true;
        contact = Contact.REACHED;
    }

    boolean leaving() {
        return leaving;
    }

    void leaving(boolean value) {
        leaving = value;
    }

    boolean renewalDue(long nowMs, long everyMs) {
        return nowMs - lastSentMs >= everyMs;
    }

    void sent(long nowMs, long grantedUntilMs) {
        lastSentMs = nowMs;
        leaseUntilMs = Math.max(leaseUntilMs, grantedUntilMs);
    }

    /**
     * Records a reply, which may have been delayed before it was read. Returns false if a later reply was received
     * before it.
     */
    boolean replied(long answeredMs, long driftMs, long nowMs) {
        if (answeredMs < lastAnsweredMs) {
            return false;
        }
        lastAnsweredMs = answeredMs;
        lastReplyMs = Math.max(lastReplyMs, Math.min(nowMs, answeredMs + driftMs));
        return true;
    }

    boolean silentFor(long nowMs, long boundMs) {
        return nowMs - lastReplyMs > boundMs;
    }

    boolean leaseLapsed(long nowMs, long driftMs) {
        return nowMs > leaseUntilMs + driftMs;
    }
}
