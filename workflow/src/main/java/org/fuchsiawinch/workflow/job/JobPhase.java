package org.fuchsiawinch.workflow.job;

/** How far a job has come, as its caller sees it. */
public enum JobPhase {
    /** Accepted; no task has started. */
    QUEUED,
    /** A task has started. */
    ACTIVE,
    /** All tasks are done. */
    COMPLETED,
    /** A task or gang has failed as often as its queue allows. */
    FAILED,
    /** Cancelled by the caller. */
    CANCELLED;

    /**
     * Says whether nothing more will start.
     *
     * @return true for the last three
     */
    public boolean ended() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
