package org.fuchsiawinch.replay.outcome;

/** What a target is relative to. */
public enum Reference {
    /** The lowest value that a baseline reaches on the same trace. */
    BEST_BASELINE,
    /** Nothing; the target is the value itself. */
    NONE
}
