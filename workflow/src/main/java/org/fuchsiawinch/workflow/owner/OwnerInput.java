package org.fuchsiawinch.workflow.owner;

import java.util.List;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Something that reached the owner of a cell. */
public sealed interface OwnerInput {

    /**
     * Records of the stream, in order; the owner's own ones change nothing.
     *
     * @param records the records
     */
    record RecordsRead(List<CellRecord> records) implements OwnerInput {}

    /**
     * The guarantees of the workspaces changed.
     *
     * @param guarantees the rules in force
     */
    record GuaranteesChanged(Guarantees guarantees) implements OwnerInput {}

    /**
     * A worker's registration in the list is new or changed.
     *
     * @param registration the registration
     */
    record WorkerListed(WorkerRegistration registration) implements OwnerInput {}

    /**
     * A worker's registration left the list.
     *
     * @param worker the worker
     */
    record WorkerUnlisted(WorkerId worker) implements OwnerInput {}

    /**
     * A worker answered a renewal.
     *
     * @param worker the worker
     * @param sentMs when the renewal was sent, on the owner's clock
     * @param report what the worker says
     */
    record Renewed(WorkerId worker, long sentMs, WorkerReport report) implements OwnerInput {}

    /**
     * A renewal failed.
     *
     * @param worker the worker
     * @param fenced whether the worker knows a higher epoch
     * @param problem what was seen, for the log
     */
    record RenewalFailed(WorkerId worker, boolean fenced, String problem) implements OwnerInput {}

    /**
     * An order to start was answered, or was not.
     *
     * @param worker the worker
     * @param run the run
     * @param outcome what came of it
     */
    record StartAnswered(WorkerId worker, TaskRun run, StartOutcome outcome) implements OwnerInput {}

    /**
     * An order to stop was answered, or was not.
     *
     * @param worker the worker
     * @param run the run
     * @param answered whether the worker accepted it
     */
    record StopAnswered(WorkerId worker, TaskRun run, boolean answered) implements OwnerInput {}

    /** The records of the last {@link OwnerEffect.Append} are stored. */
    record Appended() implements OwnerInput {}

    /** Time passed. */
    record Tick() implements OwnerInput {}
}
