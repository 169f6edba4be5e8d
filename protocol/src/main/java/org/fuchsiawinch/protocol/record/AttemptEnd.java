package org.fuchsiawinch.protocol.record;

/** How an attempt ended that did not complete its job. */
public enum AttemptEnd {
    /** Ended before its release, so no part ran. */
    NOT_RELEASED,
    /** Stopped after its progress was saved. */
    CHECKPOINTED,
    /** Stopped or lost without saved progress. */
    STOPPED
}
