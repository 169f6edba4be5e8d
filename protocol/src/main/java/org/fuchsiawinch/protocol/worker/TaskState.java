package org.fuchsiawinch.protocol.worker;

/** State of a part on its worker. */
public enum TaskState {
    /** Accepted by the worker but not running yet. */
    PREPARED,
    /** Running. */
    RUNNING,
    /** Ended with an answer. */
    COMPLETED,
    /** Ended without an answer. */
    FAILED,
    /** Ended by a stop command or an expired lease. */
    STOPPED,
    /** Ended by a stop command after its progress was saved. */
    CHECKPOINTED;

    /**
     * Returns whether the part has ended and uses no resources.
     *
     * @return true in all states except {@code PREPARED} and {@code RUNNING}
     */
    public boolean ended() {
        return this != PREPARED && this != RUNNING;
    }
}
