package org.fuchsiawinch.model;

/** Start priority among the jobs of one workspace. */
public enum Urgency {
    /** Starts before all other work of its workspace. */
    URGENT,
    /** Ordinary work. */
    NORMAL,
    /** Starts only when no other work of its workspace waits. */
    BACKGROUND
}
