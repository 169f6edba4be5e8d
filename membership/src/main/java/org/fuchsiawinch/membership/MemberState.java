package org.fuchsiawinch.membership;

/** State of a member in the view of one node. */
public enum MemberState {
    /** Answers probes or sends heartbeats. */
    ALIVE,
    /** Missed a probe or heartbeats and has not yet refuted the suspicion. */
    SUSPECT,
    /** Leaving, by its own announcement or the platform's VM list. Gets no new work and never becomes alive again. */
    LEAVING,
    /** Did not refute a suspicion or send a heartbeat in time, or was replaced by another process at its address. */
    DEAD;

    /** Returns whether new work may be routed to a member in this state. */
    public boolean routable() {
        return this == ALIVE || this == SUSPECT;
    }

    /** Returns whether this state is not {@link #DEAD}; only such members are probed and listed in pages. */
    public boolean reachable() {
        return this != DEAD;
    }
}
