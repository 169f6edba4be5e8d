package org.fuchsiawinch.protocol.record;

/** How an attempt ended that did not complete its job. */
public enum AttemptEnd {
    /** Ended before its release: no part ran. */
    NOT_RELEASED,
    /** Stopped with its progress saved. */
    CHECKPOINTED,
    /** Stopped or lost; its progress is lost. */
    STOPPED
}
