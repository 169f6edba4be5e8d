package org.fuchsiawinch.workflow.owner;

import java.util.List;
import java.util.OptionalLong;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Something that the owner of a cell wants done. */
public sealed interface OwnerEffect {

    /**
     * Append records to the cell's stream under the owner's epoch; repeated until stored or fenced, and answered by
     * {@link OwnerInput.Appended}. There is never more than one at a time.
     *
     * @param records the records
     */
    record Append(List<CellRecord> records) implements OwnerEffect {}

    /**
     * Renew a worker's lease and ask what runs there.
     *
     * @param worker the worker
     * @param leaseEndMs end of the lease on the worker's clock; empty until that clock is known
     * @param acknowledged number of the last end that is stored
     * @param waitMs time in ms that the worker may wait for an end before it answers
     */
    record Renew(WorkerId worker, OptionalLong leaseEndMs, long acknowledged, long waitMs) implements OwnerEffect {}

    /**
     * Start a run.
     *
     * @param worker the worker
     * @param run the run
     * @param payload text of the job
     * @param leaseEndMs end of the lease on the worker's clock
     * @param checkpoint where to resume; empty text for the beginning
     */
    record Start(WorkerId worker, TaskRun run, String payload, long leaseEndMs, String checkpoint)
            implements OwnerEffect {}

    /**
     * Stop a run.
     *
     * @param worker the worker
     * @param run the run
     */
    record Stop(WorkerId worker, TaskRun run) implements OwnerEffect {}

    /**
     * Give up the cell at once, without a record: another node owns it.
     *
     * @param reason what showed it, for the log
     */
    record StepDown(String reason) implements OwnerEffect {}
}
