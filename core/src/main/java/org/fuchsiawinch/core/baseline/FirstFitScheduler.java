package org.fuchsiawinch.core.baseline;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Shape;

/**
 * Scheduler that starts jobs in order of arrival on the first workers that fit, without guarantees, reservations or
 * estimate corrections. Not thread-safe.
 */
public final class FirstFitScheduler implements Scheduler {

    private final QueueScheduler queue;

    /**
     * Creates a scheduler.
     *
     * @param strictOrder whether a job that does not fit blocks all later jobs (first-come-first-served) or is skipped
     *     (first fit)
     */
    public FirstFitScheduler(boolean strictOrder) {
        queue = new QueueScheduler((waiting, fleet, nowMs) -> startJobs(waiting, fleet, nowMs, strictOrder));
    }

    @Override
    public List<Decision> decide(SchedulerEvent event, long nowMs) {
        return queue.decide(event, nowMs);
    }

    @Override
    public Optional<Reason> waitReason(JobId job, long nowMs) {
        return queue.waitReason(job, nowMs);
    }

    private static void startJobs(Collection<JobSpec> waiting, Fleet fleet, long nowMs, boolean strictOrder) {
        Set<Shape> misfits = new HashSet<>();
        for (JobSpec job : waiting) {
            if (misfits.contains(job.shape())) {
                continue;
            }
            Optional<List<Placement>> placements = fleet.place(job);
            if (placements.isPresent()) {
                fleet.start(job, placements.get(), nowMs);
                continue;
            }
            if (strictOrder) {
                return;
            }
            if (!fleet.hasFailed(job.id())) {
                misfits.add(job.shape());
            }
        }
    }
}
