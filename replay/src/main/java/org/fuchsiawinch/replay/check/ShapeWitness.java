package org.fuchsiawinch.replay.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.replay.history.HistoryEvent;

/**
 * Tells whether the workers that serve could hold a shape if everything were reclaimed that may be. What stays is work
 * within guarantees, and non-repeatable work that was there before the last loss of capacity. Not thread-safe.
 */
final class ShapeWitness {

    private final Map<WorkerId, WorkerSpec> serving = new TreeMap<>();
    private final Map<WorkerId, WorkerSpec> known = new HashMap<>();
    private final Map<JobId, JobSpec> jobs = new HashMap<>();
    private final Set<JobId> protectedJobs = new HashSet<>();
    private final Map<TaskId, Running> running = new LinkedHashMap<>();
    private long lastLossMs = -1;

    void see(HistoryEvent event) {
        if (event instanceof HistoryEvent.WorkerUp up) {
            serve(up.worker());
        } else if (event instanceof HistoryEvent.WorkerDown down) {
            lose(down.worker(), down.atMs());
        } else if (event instanceof HistoryEvent.WorkerQuarantined quarantined) {
            lose(quarantined.worker(), quarantined.atMs());
        } else if (event instanceof HistoryEvent.WorkerProbed probed && probed.healthy()) {
            serve(known.get(probed.worker()));
        } else if (event instanceof HistoryEvent.JobSubmitted submitted) {
            jobs.put(submitted.spec().id(), submitted.spec());
        } else if (event instanceof HistoryEvent.PartStarted started) {
            running.put(started.task(), new Running(started.worker(), started.atMs()));
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            running.remove(ended.task());
        }
    }

    void protect(JobId job) {
        protectedJobs.add(job);
    }

    void release(JobId job) {
        protectedJobs.remove(job);
    }

    boolean fitsEmpty(Shape shape) {
        Map<WorkerSpec, Resources> free = new LinkedHashMap<>();
        serving.values().forEach(worker -> free.put(worker, worker.capacity()));
        return ShapePacker.copies(free, shape) > 0;
    }

    boolean fits(Shape shape) {
        Map<WorkerId, Resources> free = new TreeMap<>();
        serving.values().forEach(worker -> free.put(worker.id(), worker.capacity()));
        running.forEach((task, part) -> {
            JobSpec job = jobs.get(task.attempt().job());
            if (stays(job, task.attempt(), part)) {
                free.computeIfPresent(
                        part.worker(), (id, left) -> left.minus(job.shape().perPart()));
            }
        });
        Map<WorkerSpec, Resources> bySpec = new LinkedHashMap<>();
        free.forEach((id, left) -> bySpec.put(serving.get(id), left));
        return ShapePacker.copies(bySpec, shape) > 0;
    }

    /** Counts the accelerators of a workspace that may not be reclaimed now. */
    int heldForGood(WorkspaceId workspace) {
        int sum = 0;
        for (Map.Entry<TaskId, Running> entry : running.entrySet()) {
            JobSpec job = jobs.get(entry.getKey().attempt().job());
            boolean held = protectedJobs.contains(job.id()) || !job.reclaimable();
            if (held && job.workspace().equals(workspace)) {
                sum += job.shape().perPart().accelerators();
            }
        }
        return sum;
    }

    private boolean stays(JobSpec job, AttemptId attempt, Running part) {
        return protectedJobs.contains(attempt.job()) || !job.reclaimable() && part.sinceMs() <= lastLossMs;
    }

    private void serve(WorkerSpec worker) {
        known.put(worker.id(), worker);
        serving.put(worker.id(), worker);
    }

    private void lose(WorkerId worker, long atMs) {
        serving.remove(worker);
        lastLossMs = atMs;
    }

    private record Running(WorkerId worker, long sinceMs) {}
}
