package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.JobState;

/**
 * Distinguishes jobs that fail wherever they run from workers that fail what they run. Failures of such a job are no
 * evidence against a worker. Not thread-safe.
 */
final class FailingJobs {

    /** Minimum number of workers on which a job fails that is at fault itself. */
    private static final int MIN_WORKERS = 3;

    private final CellState state;

    /** Workers on which runs of a job have failed since one last succeeded, by id of the job; only of open jobs. */
    private final Map<String, Set<WorkerId>> failedOn = new HashMap<>();

    FailingJobs(CellState state) {
        this.state = state;
    }

    void runSucceeded(WorkerState worker, JobState job) {
        failedOn.remove(job.submission().id());
        worker.health.runSucceeded();
    }

    /**
     * Records a failure of a run that began at a time in ms; returns whether the worker is quarantined for it. If the
     * job is found to be at fault, its earlier failures no longer count against any worker either.
     */
    boolean runFailed(WorkerState worker, JobState job, long startedMs, long nowMs) {
        String id = job.submission().id();
        if (!failedOn.containsKey(id)) {
            failedOn.keySet().retainAll(state.openJobs.keySet());
        }
        failedOn.computeIfAbsent(id, added -> new HashSet<>()).add(worker.id);
        if (!atFault(job)) {
            return worker.health.runFailed(id, startedMs, nowMs);
        }
        state.workers.values().forEach(other -> other.health.forgetFailures(id));
        return false;
    }

    /** Returns whether a job has failed on several workers, and on more of them than it still runs on besides. */
    private boolean atFault(JobState job) {
        Set<WorkerId> failed = failedOn.get(job.submission().id());
        long others = state.runIndex.runsOf(job).stream()
                .map(run -> run.worker.id)
                .filter(worker -> !failed.contains(worker))
                .distinct()
                .count();
        return failed.size() >= MIN_WORKERS && failed.size() > others;
    }
}
