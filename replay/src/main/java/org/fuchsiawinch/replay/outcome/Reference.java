package org.fuchsiawinch.replay.outcome;

/** Value that the limit of a target is relative to. */
public enum Reference {
    /** The lowest value of any baseline on the same trace. */
    BEST_BASELINE,
    /** None; the limit is absolute. */
    NONE
}
