package org.fuchsiawinch.model;

/** Order of start among the jobs of one workspace. */
public enum Urgency {
    /** Starts before all other work of its workspace. */
    URGENT,
    /** Ordinary work. */
    NORMAL,
    /** Starts when nothing else of its workspace waits. */
    BACKGROUND
}
