package org.fuchsiawinch.replay.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.fuchsiawinch.replay.history.HistoryEvent;

/**
 * Determines whether the serving workers could hold a shape if all reclaimable work were reclaimed. Not reclaimable is
 * work inside guarantees, at most one attempt per guaranteed shape, and non-repeatable work that started before the
 * last loss of capacity. If a workspace runs more attempts than it has guaranteed shapes, attempts that the scheduler
 * does not count as lent come first, then the oldest. Not thread-safe.
 */
final class ReclaimFeasibility {

    private final Map<WorkerId, WorkerSpec> serving = new TreeMap<>();
    private final Map<WorkerId, WorkerSpec> known = new HashMap<>();
    private final Map<JobId, JobSpec> jobs = new HashMap<>();
    private final Set<AttemptId> lent = new HashSet<>();
    private final Map<TaskId, RunningPart> running = new LinkedHashMap<>();
    private Policy policy;
    private long lastLossMs = -1;

    void onEvent(HistoryEvent event) {
        if (event instanceof HistoryEvent.PolicyInForce inForce) {
            policy = inForce.policy();
        } else if (event instanceof HistoryEvent.StartDecided start && start.lent()) {
            lent.add(start.attempt());
        } else if (event instanceof HistoryEvent.AttemptPromoted promoted) {
            lent.remove(promoted.attempt());
        } else if (event instanceof HistoryEvent.WorkerUp up) {
            addServing(up.worker());
        } else if (event instanceof HistoryEvent.WorkerDown down) {
            removeServing(down.worker(), down.atMs());
        } else if (event instanceof HistoryEvent.WorkerQuarantined quarantined) {
            removeServing(quarantined.worker(), quarantined.atMs());
        } else if (event instanceof HistoryEvent.WorkerProbed probed && probed.healthy()) {
            addServing(known.get(probed.worker()));
        } else if (event instanceof HistoryEvent.JobSubmitted submitted) {
            jobs.put(submitted.spec().id(), submitted.spec());
        } else if (event instanceof HistoryEvent.PartStarted started) {
            running.put(started.task(), new RunningPart(started.worker(), started.atMs()));
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            running.remove(ended.task());
        }
    }

    boolean fitsIdleWorkers(Shape shape) {
        Map<WorkerSpec, Resources> free = new LinkedHashMap<>();
        serving.values().forEach(worker -> free.put(worker, worker.capacity()));
        return ShapePacker.copies(free, shape) > 0;
    }

    boolean fitsAfterReclaim(Shape shape) {
        Map<WorkerId, Resources> free = new TreeMap<>();
        serving.values().forEach(worker -> free.put(worker.id(), worker.capacity()));
        Set<AttemptId> inside = attemptsInsideGuarantees();
        running.forEach((task, part) -> {
            JobSpec job = jobs.get(task.attempt().job());
            boolean nonReclaimable = !job.reclaimable() && part.sinceMs() <= lastLossMs;
            if (nonReclaimable || inside.contains(task.attempt())) {
                free.computeIfPresent(
                        part.worker(), (id, left) -> left.minus(job.shape().perPart()));
            }
        });
        Map<WorkerSpec, Resources> bySpec = new LinkedHashMap<>();
        free.forEach((id, left) -> bySpec.put(serving.get(id), left));
        return ShapePacker.copies(bySpec, shape) > 0;
    }

    /** Returns the number of accelerators of a workspace that cannot be reclaimed now. */
    int nonReclaimableAccelerators(WorkspaceId workspace) {
        int sum = 0;
        Set<AttemptId> inside = attemptsInsideGuarantees();
        for (Map.Entry<TaskId, RunningPart> entry : running.entrySet()) {
            JobSpec job = jobs.get(entry.getKey().attempt().job());
            boolean nonReclaimable = inside.contains(entry.getKey().attempt()) || !job.reclaimable();
            if (nonReclaimable && job.workspace().equals(workspace)) {
                sum += job.shape().perPart().accelerators();
            }
        }
        return sum;
    }

    private Set<AttemptId> attemptsInsideGuarantees() {
        Map<WorkspaceId, List<AttemptId>> byWorkspace = new LinkedHashMap<>();
        running.keySet().stream()
                .map(TaskId::attempt)
                .distinct()
                .sorted(Comparator.comparing(lent::contains))
                .forEach(attempt -> byWorkspace
                        .computeIfAbsent(jobs.get(attempt.job()).workspace(), workspace -> new ArrayList<>())
                        .add(attempt));
        Set<AttemptId> inside = new HashSet<>();
        byWorkspace.forEach((workspace, attempts) -> {
            WorkspacePolicy rules = policy.workspaces().get(workspace);
            if (rules == null) {
                return;
            }
            List<Shape> shapes = attempts.stream()
                    .map(attempt -> jobs.get(attempt.job()).shape())
                    .toList();
            GuaranteeCoverage.coveredIndexes(rules, shapes).forEach(index -> inside.add(attempts.get(index)));
        });
        return inside;
    }

    private void addServing(WorkerSpec worker) {
        known.put(worker.id(), worker);
        serving.put(worker.id(), worker);
    }

    private void removeServing(WorkerId worker, long atMs) {
        serving.remove(worker);
        lastLossMs = atMs;
    }

    private record RunningPart(WorkerId worker, long sinceMs) {}
}
