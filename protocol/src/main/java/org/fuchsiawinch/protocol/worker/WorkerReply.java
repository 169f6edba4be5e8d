package org.fuchsiawinch.protocol.worker;

import java.util.List;
import java.util.Optional;

/**
 * A worker's reply to any command, with a report of every part that it holds.
 *
 * @param rejection why the command had no effect; empty if it was carried out now or earlier
 * @param fence highest epoch that the worker has seen for the cell
 * @param leaving whether the worker is about to leave
 * @param answeredMs Unix time in ms of the reply by the worker's own clock; a reply older than one already received is
 *     out of order and ignored
 * @param tasks all parts that the worker holds, including ended ones until they are forgotten
 */
public record WorkerReply(
        Optional<Rejection> rejection, long fence, boolean leaving, long answeredMs, List<TaskReport> tasks) {

    /**
     * Copies the list.
     */
    public WorkerReply {
        tasks = List.copyOf(tasks);
    }

    /** Reasons for which a worker rejects a command. */
    public enum Rejection {
        /** The command's epoch is below the worker's fence. */
        STALE_EPOCH,
        /** The command's start-by time has passed by the worker's clock. */
        TOO_LATE,
        /** The worker is leaving. */
        LEAVING,
        /** The worker does not hold the part. */
        UNKNOWN_TASK,
        /** The part is in a state that does not allow the command. */
        WRONG_STATE
    }
}
