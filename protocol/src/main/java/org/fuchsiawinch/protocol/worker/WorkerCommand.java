package org.fuchsiawinch.protocol.worker;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskId;

/**
 * Command of a node to a worker. Every command carries the sender's epoch as a fencing token; a worker rejects epochs
 * below its fence.
 */
public sealed interface WorkerCommand {

    /**
     * Returns the cell that the sender acts for.
     *
     * @return the cell
     */
    CellId cell();

    /**
     * Returns the sender's epoch.
     *
     * @return the epoch
     */
    long epoch();

    /**
     * Command to raise the worker's fence, to renew the leases of all parts that it holds and to report them.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param leaseUntilMs Unix time in ms at which the renewed leases end; 0 renews no lease but still
     *     raises the fence and requests the report
     */
    record Renew(CellId cell, long epoch, long leaseUntilMs) implements WorkerCommand {}

    /**
     * Command to accept a part without running it, under a lease that later commands extend.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param task the part
     * @param resources resources granted to the part
     * @param kind kind of work
     * @param payload input data of the job
     * @param startByMs Unix time in ms after which the worker must reject the command
     * @param leaseUntilMs Unix time in ms at which the part's lease ends unless renewed
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
     * Command to start a prepared part.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param task the part
     * @param leaseUntilMs Unix time in ms at which the part's lease ends unless renewed
     */
    record Release(CellId cell, long epoch, TaskId task, long leaseUntilMs) implements WorkerCommand {}

    /**
     * Command to stop a part in any state.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param task the part
     * @param mode whether the part saves its progress first
     */
    record Stop(CellId cell, long epoch, TaskId task, StopMode mode) implements WorkerCommand {}

    /**
     * Command to delete an ended part and its answer from the worker.
     *
     * @param cell the cell
     * @param epoch the sender's epoch
     * @param task the part
     */
    record Forget(CellId cell, long epoch, TaskId task) implements WorkerCommand {}
}
