package org.fuchsiawinch.workflow.owner;

import java.util.List;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Event that the owner of a cell processes. */
public sealed interface OwnerInput {

    /**
     * Records of the cell's stream, in order. The owner's own records have no effect.
     *
     * @param records the records
     */
    record RecordsRead(List<CellRecord> records) implements OwnerInput {}

    /**
     * The guarantees of the workspaces changed.
     *
     * @param guarantees the guarantees in force
     */
    record GuaranteesChanged(Guarantees guarantees) implements OwnerInput {}

    /**
     * A worker was added to the list, or its registration changed.
     *
     * @param registration the registration
     */
    record WorkerListed(WorkerRegistration registration) implements OwnerInput {}

    /**
     * A worker was removed from the list.
     *
     * @param worker the worker
     */
    record WorkerUnlisted(WorkerId worker) implements OwnerInput {}

    /**
     * A worker answered a renewal.
     *
     * @param worker the worker
     * @param sentMs time at which the renewal was sent, on the owner's clock
     * @param report the worker's report
     */
    record Renewed(WorkerId worker, long sentMs, WorkerReport report) implements OwnerInput {}

    /**
     * A renewal failed.
     *
     * @param worker the worker
     * @param fenced whether the worker knows a higher epoch
     * @param problem description of the failure, for the log
     */
    record RenewalFailed(WorkerId worker, boolean fenced, String problem) implements OwnerInput {}

    /**
     * A start order was answered or timed out.
     *
     * @param worker the worker
     * @param run the run
     * @param outcome the outcome
     */
    record StartAnswered(WorkerId worker, TaskRun run, StartOutcome outcome) implements OwnerInput {}

    /**
     * A stop order was answered or timed out.
     *
     * @param worker the worker
     * @param run the run
     * @param accepted whether the worker accepted the order
     */
    record StopAnswered(WorkerId worker, TaskRun run, boolean accepted) implements OwnerInput {}

    /** The records of the last {@link OwnerEffect.Append} are stored. */
    record Appended() implements OwnerInput {}

    /** Periodic trigger of time-outs and scheduling. */
    record Tick() implements OwnerInput {}
}
