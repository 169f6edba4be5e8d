package org.fuchsiawinch.workflow.job;

/** The phase of a job as reported to its caller. Stored by ordinal: constants keep their order. */
public enum JobPhase {
    /** Accepted; no worker has confirmed the start of a task. */
    QUEUED,
    /** A task has started. */
    ACTIVE,
    /** All tasks are done. */
    COMPLETED,
    /** A task or gang has used up the attempts that its queue allows. */
    FAILED,
    /** Cancelled by the caller. */
    CANCELLED;

    /**
     * Returns whether the phase is final, so that no further task starts.
     *
     * @return true for COMPLETED, FAILED and CANCELLED
     */
    public boolean ended() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
