package org.fuchsiawinch.workflow.owner;

import java.util.List;
import java.util.OptionalLong;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Action that the owner of a cell requests from its caller. */
public sealed interface OwnerEffect {

    /**
     * Request to append records to the cell's stream under the owner's epoch. The caller retries until they are stored
     * or fenced off, and confirms with {@link OwnerInput.Appended}. At most one append is outstanding.
     *
     * @param records the records
     */
    record Append(List<CellRecord> records) implements OwnerEffect {}

    /**
     * Request to renew a worker's lease and to report its runs.
     *
     * @param worker the worker
     * @param leaseEndMs end of the lease in ms on the worker's clock; empty if the lease is not to be extended
     * @param acknowledged highest sequence number of an ended run that is stored; ends up to it need no report
     * @param waitMs time in ms that the worker may wait for a run to end before it answers
     */
    record Renew(WorkerId worker, OptionalLong leaseEndMs, long acknowledged, long waitMs) implements OwnerEffect {}

    /**
     * Order to start a run.
     *
     * @param worker the worker
     * @param run the run
     * @param payload text of the job
     * @param leaseEndMs end of the lease in ms on the worker's clock
     * @param checkpoint checkpoint to resume from; empty text to start from the beginning
     */
    record Start(WorkerId worker, TaskRun run, String payload, long leaseEndMs, String checkpoint)
            implements OwnerEffect {}

    /**
     * Order to stop a run.
     *
     * @param worker the worker
     * @param run the run
     */
    record Stop(WorkerId worker, TaskRun run) implements OwnerEffect {}

    /**
     * Request to give up the cell at once, without storing a release, since another node owns it.
     *
     * @param reason observation that proves it, for the log
     */
    record StepDown(String reason) implements OwnerEffect {}
}
