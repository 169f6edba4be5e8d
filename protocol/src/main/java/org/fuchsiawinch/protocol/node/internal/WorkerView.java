package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.model.WorkerSpec;

/** What a cell's owner knows of one worker. Not thread-safe. */
final class WorkerView {

    /** How far the worker can be relied on. */
    enum Contact {
        /** Has not answered in this epoch yet. */
        UNSEEN,
        /** Answers. */
        REACHED,
        /** Does not answer; its lease may still hold. */
        IN_DOUBT,
        /** Does not answer, and its lease has lapsed. */
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

    /** Notes that the worker answers in this epoch: leases of earlier epochs end by the given time. */
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

    /** Notes an answer, which may have waited before it was read; returns false if it was overtaken by a later one. */
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
