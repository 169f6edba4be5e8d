package org.fuchsiawinch.core;

import java.util.List;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;

/** Something that the scheduler wants done. */
public sealed interface Decision {

    /**
     * Why, at what price, and what the next best choice was.
     *
     * @return the reason
     */
    Reason reason();

    /**
     * Start all parts of a gang, or none.
     *
     * @param attempt the attempt
     * @param placements one for each part, in order of part
     * @param lent whether it runs outside its workspace's guarantee and may be reclaimed
     * @param reason why here and now
     */
    record StartGang(AttemptId attempt, List<Placement> placements, boolean lent, Reason reason) implements Decision {

        /**
         * Copies the list.
         */
        public StartGang {
            placements = List.copyOf(placements);
        }
    }

    /**
     * Count a running lent attempt to its workspace's guarantee from now on; it is no longer reclaimed, and its price
     * changes. Nothing has to be done on workers.
     *
     * @param attempt the attempt
     * @param reason why, and the new price
     */
    record PromoteGang(AttemptId attempt, Reason reason) implements Decision {}

    /**
     * Stop all parts of a running attempt; answered by an {@code AttemptStopped} event.
     *
     * @param attempt the attempt
     * @param mode how
     * @param reason why
     */
    record StopGang(AttemptId attempt, StopMode mode, Reason reason) implements Decision {}

    /**
     * The job ended without running to completion and never will run.
     *
     * @param job the job
     * @param ran whether an attempt may have begun; if false the caller is told that it did not run
     * @param reason why
     */
    record EndJob(JobId job, boolean ran, Reason reason) implements Decision {}

    /**
     * Start a probe on a quarantined worker; answered by a {@code ProbeEnded} event.
     *
     * @param worker the worker
     * @param reason why
     */
    record ProbeWorker(WorkerId worker, Reason reason) implements Decision {}

    /**
     * Tell operators that a worker gets no work until a probe succeeds.
     *
     * @param worker the worker
     * @param reason why
     */
    record QuarantineWorker(WorkerId worker, Reason reason) implements Decision {}

    /**
     * Tell operators that a workspace's guarantee cannot be met by the workers that are left.
     *
     * @param workspace the workspace
     * @param reason what is missing
     */
    record GuaranteeLost(WorkspaceId workspace, Reason reason) implements Decision {}
}
