package org.fuchsiawinch.workflow.owner;

import java.util.List;
import java.util.Set;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Event that the owner of a cell processes. */
public sealed interface OwnerInput {

    /**
     * Newly read records of the cell's stream, in order. The owner's own records have no effect.
     *
     * @param records the records
     */
    record RecordsRead(List<CellRecord> records) implements OwnerInput {}

    /**
     * Change of the workspaces' guarantees.
     *
     * @param guarantees the guarantees in force
     */
    record GuaranteesChanged(Guarantees guarantees) implements OwnerInput {}

    /**
     * Read of the operators' stream to its end.
     *
     * @param drainedDataCentres data centres in which nothing may start
     * @param readMs time in ms of the read, on the owner's clock
     */
    record DrainsRead(Set<String> drainedDataCentres, long readMs) implements OwnerInput {

        /** Copies the set. */
        public DrainsRead {
            drainedDataCentres = Set.copyOf(drainedDataCentres);
        }
    }

    /**
     * Addition of a worker to the platform's list, or change of its registration.
     *
     * @param registration the registration
     */
    record WorkerListed(WorkerRegistration registration) implements OwnerInput {}

    /**
     * Removal of a worker from the platform's list.
     *
     * @param worker the worker
     */
    record WorkerUnlisted(WorkerId worker) implements OwnerInput {}

    /**
     * Begin or end of the delivery of a list of workers that is delivered in parts.
     *
     * @param pending whether further parts follow
     */
    record WorkersPending(boolean pending) implements OwnerInput {}

    /**
     * Answer of a worker to a renewal.
     *
     * @param worker the worker
     * @param sentMs time in ms at which the renewal was sent, on the owner's clock
     * @param report the worker's report
     */
    record Renewed(WorkerId worker, long sentMs, WorkerReport report) implements OwnerInput {}

    /**
     * Failure of a renewal.
     *
     * @param worker the worker
     * @param sentMs time in ms at which the renewal was sent, on the owner's clock
     * @param fenced whether the worker knows a higher epoch
     * @param problem description of the failure, for the log
     */
    record RenewalFailed(WorkerId worker, long sentMs, boolean fenced, String problem) implements OwnerInput {}

    /**
     * Answer to a start order, or its time-out.
     *
     * @param worker the worker
     * @param run the run
     * @param outcome the outcome
     */
    record StartAnswered(WorkerId worker, TaskRun run, StartOutcome outcome) implements OwnerInput {}

    /**
     * Answer to a stop order, or its time-out.
     *
     * @param worker the worker
     * @param run the run
     * @param accepted whether the worker accepted the order; false if it did not answer
     */
    record StopAnswered(WorkerId worker, TaskRun run, boolean accepted) implements OwnerInput {}

    /** Confirmation that the records of the last {@link OwnerEffect.Append} are stored. */
    record Appended() implements OwnerInput {}

    /** Resumption of a machine that was suspended together with its clock. */
    record Suspended() implements OwnerInput {}

    /** Periodic trigger of time-outs and scheduling. */
    record Tick() implements OwnerInput {}
}
