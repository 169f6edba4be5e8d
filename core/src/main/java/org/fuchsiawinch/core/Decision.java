package org.fuchsiawinch.core;

import java.util.List;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;

/** An action that the scheduler requests in answer to an event. */
public sealed interface Decision {

    /**
     * Returns the reason with its price and the next best choice.
     *
     * @return the reason
     */
    Reason reason();

    /**
     * Start of all parts of a gang, or of none.
     *
     * @param attempt the attempt
     * @param placements one placement for each part, in order of part
     * @param lent whether the attempt runs outside its workspace's guarantee and may be reclaimed
     * @param reason why the gang starts now on these workers
     */
    record StartGang(AttemptId attempt, List<Placement> placements, boolean lent, Reason reason) implements Decision {

        /**
         * Copies the placements into an immutable list.
         */
        public StartGang {
            placements = List.copyOf(placements);
        }
    }

    /**
     * Promotion of a running lent attempt: it counts toward its workspace's guarantee from now on, so that it can no
     * longer be reclaimed and its price changes. Requires no action on workers.
     *
     * @param attempt the attempt
     * @param reason why it is promoted, with the new price
     */
    record PromoteGang(AttemptId attempt, Reason reason) implements Decision {}

    /**
     * Stop of all parts of a running attempt. An {@code AttemptStopped} event reports the completion.
     *
     * @param attempt the attempt
     * @param mode whether progress is saved first
     * @param reason why it is stopped
     */
    record StopGang(AttemptId attempt, StopMode mode, Reason reason) implements Decision {}

    /**
     * End of a job that did not run to completion and will not be started again.
     *
     * @param job the job
     * @param ran whether an attempt may have begun; if false the caller receives the answer that the job did not run
     * @param reason why it ends
     */
    record EndJob(JobId job, boolean ran, Reason reason) implements Decision {}

    /**
     * Probe of a quarantined worker. A {@code ProbeEnded} event reports the result.
     *
     * @param worker the worker
     * @param reason why the probe is due
     */
    record ProbeWorker(WorkerId worker, Reason reason) implements Decision {}

    /**
     * Report to operators that a worker receives no work until a probe succeeds.
     *
     * @param worker the worker
     * @param reason why it is quarantined
     */
    record QuarantineWorker(WorkerId worker, Reason reason) implements Decision {}

    /**
     * Report to operators that the remaining workers cannot hold a workspace's guarantee.
     *
     * @param workspace the workspace
     * @param reason why the guarantee cannot be met
     */
    record GuaranteeLost(WorkspaceId workspace, Reason reason) implements Decision {}
}
