package org.fuchsiawinch.replay.history;

/** How one part of a running gang ended. */
public enum PartEnd {
    /** The part produced its result. */
    COMPLETED,
    /** The part failed by itself or because of its worker. */
    FAILED,
    /** The part's worker was lost. */
    LOST,
    /** The part was stopped and its progress is lost. */
    STOPPED,
    /** The part was stopped after its progress was saved. */
    CHECKPOINTED
}
