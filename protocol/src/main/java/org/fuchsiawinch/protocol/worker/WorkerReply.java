package org.fuchsiawinch.protocol.worker;

import java.util.List;
import java.util.Optional;

/**
 * A worker's answer to any command, with all that it holds.
 *
 * @param rejection why the command had no effect; empty if it was carried out, now or before
 * @param fence highest epoch that the worker has seen for the cell
 * @param leaving whether the worker is about to leave
 * @param answeredMs time in ms since the epoch of the answer by the worker's own clock; an answer older than one
 *     seen before is late and says nothing
 * @param tasks all parts that it holds, ended ones that were not forgotten included
 */
public record WorkerReply(
        Optional<Rejection> rejection, long fence, boolean leaving, long answeredMs, List<TaskReport> tasks) {

    /**
     * Copies the list.
     */
    public WorkerReply {
        tasks = List.copyOf(tasks);
    }

    /** Why a worker rejects a command. */
    public enum Rejection {
        /** The epoch is below the fence. */
        STALE_EPOCH,
        /** The start-by time has passed by the worker's clock. */
        TOO_LATE,
        /** The worker is leaving. */
        LEAVING,
        /** The worker does not hold the part. */
        UNKNOWN_TASK,
        /** The part is in a state that does not allow the command. */
        WRONG_STATE
    }
}
