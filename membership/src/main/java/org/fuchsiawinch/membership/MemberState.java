package org.fuchsiawinch.membership;

/** What a node believes of a member. */
public enum MemberState {
    /** Answers probes. */
    ALIVE,
    /** Missed a probe and has not yet refuted the suspicion. */
    SUSPECT,
    /** Announced its stop, or the platform's VM list did; gets no new work, and never becomes alive again. */
    LEAVING,
    /** Did not refute a suspicion in time, or another process took its address. */
    DEAD;

    /** Returns whether new work may be routed to a member in this state. */
    public boolean routable() {
        return this == ALIVE || this == SUSPECT;
    }

    /** Returns whether a member in this state is still probed. */
    public boolean reachable() {
        return this != DEAD;
    }
}
