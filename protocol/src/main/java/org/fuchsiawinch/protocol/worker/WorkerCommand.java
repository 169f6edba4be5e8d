package org.fuchsiawinch.protocol.worker;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskId;

/** What a node asks of a worker. Every command carries the epoch; a worker rejects epochs below its fence. */
public sealed interface WorkerCommand {

    /**
     * The cell that the sender acts for.
     *
     * @return the cell
     */
    CellId cell();

    /**
     * The sender's epoch.
     *
     * @return the epoch
     */
    long epoch();

    /**
     * Raises the fence, renews the lease of all tasks and asks for a report.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param leaseUntilMs end of the renewed lease in ms since the epoch; 0 renews nothing and only asks
     */
    record Renew(CellId cell, long epoch, long leaseUntilMs) implements WorkerCommand {}

    /**
     * Takes a part in, throttled to nothing, under a trial lease.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param task the part
     * @param resources what the part is granted
     * @param kind kind of work
     * @param payload what the work is told
     * @param startByMs time in ms since the epoch after which the worker must reject the command
     * @param leaseUntilMs end of the trial lease in ms since the epoch
     */
    record Prepare(
            CellId cell,
            long epoch,
            TaskId task,
            Resources resources,
            String kind,
            byte[] payload,
            long startByMs,
            long leaseUntilMs)
            implements WorkerCommand {}

    /**
     * Lets a prepared part run.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param task the part
     * @param leaseUntilMs end of the lease in ms since the epoch
     */
    record Release(CellId cell, long epoch, TaskId task, long leaseUntilMs) implements WorkerCommand {}

    /**
     * Ends a part in any state.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param task the part
     * @param mode how
     */
    record Stop(CellId cell, long epoch, TaskId task, StopMode mode) implements WorkerCommand {}

    /**
     * Drops an ended part and its answer.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param task the part
     */
    record Forget(CellId cell, long epoch, TaskId task) implements WorkerCommand {}
}
