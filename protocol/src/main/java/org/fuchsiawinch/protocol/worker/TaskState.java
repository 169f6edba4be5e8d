package org.fuchsiawinch.protocol.worker;

/** State of a part on its worker. */
public enum TaskState {
    /** Taken in, throttled to nothing. */
    PREPARED,
    /** Running. */
    RUNNING,
    /** Ended with an answer. */
    COMPLETED,
    /** Ended without an answer. */
    FAILED,
    /** Ended by a stop or a lapsed lease. */
    STOPPED,
    /** Ended by a stop, its progress saved. */
    CHECKPOINTED;

    /**
     * Says whether the part takes no resources any more.
     *
     * @return true for the four ended states
     */
    public boolean ended() {
        return this != PREPARED && this != RUNNING;
    }
}
