package org.fuchsiawinch.workflow.job;

/** How far a task has come. */
public enum TaskPhase {
    /** Runs nowhere; may be assigned. */
    WAITING,
    /** Runs on a worker, or may run there. */
    ASSIGNED,
    /** A run has ended with success. */
    DONE
}
