package org.fuchsiawinch.replay.history;

/** How one part of a running gang ended. */
public enum PartEnd {
    /** It gave its result. */
    COMPLETED,
    /** It failed by itself or through its worker. */
    FAILED,
    /** Its worker was lost. */
    LOST,
    /** It was stopped; its progress is lost. */
    STOPPED,
    /** It was stopped with its progress saved. */
    CHECKPOINTED
}
