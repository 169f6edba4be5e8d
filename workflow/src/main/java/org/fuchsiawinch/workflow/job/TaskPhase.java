package org.fuchsiawinch.workflow.job;

/** The phase of a task. Stored by ordinal: constants keep their order. */
public enum TaskPhase {
    /** Not running; may be assigned to a worker. */
    WAITING,
    /** Assigned to a worker: runs there, or may be running. */
    ASSIGNED,
    /** A run has succeeded. */
    DONE
}
