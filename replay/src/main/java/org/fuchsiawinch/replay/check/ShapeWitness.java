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
 * Tells whether the workers that serve could hold a shape if everything were reclaimed that may be. What stays is work
 * inside guarantees, at most one attempt for each guaranteed shape, and non-repeatable work that was there before the
 * last loss of capacity. Where more attempts run than a workspace has guaranteed shapes, those stay that the scheduler
 * doesn't count as lent, then the oldest. Not thread-safe.
 */
final class ShapeWitness {

    private final Map<WorkerId, WorkerSpec> serving = new TreeMap<>();
    private final Map<WorkerId, WorkerSpec> known = new HashMap<>();
    private final Map<JobId, JobSpec> jobs = new HashMap<>();
    private final Set<AttemptId> lent = new HashSet<>();
    private final Map<TaskId, Running> running = new LinkedHashMap<>();
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

    boolean fitsEmpty(Shape shape) {
        Map<WorkerSpec, Resources> free = new LinkedHashMap<>();
        serving.values().forEach(worker -> free.put(worker, worker.capacity()));
        return ShapePacker.copies(free, shape) > 0;
    }

    boolean fits(Shape shape) {
        Map<WorkerId, Resources> free = new TreeMap<>();
        serving.values().forEach(worker -> free.put(worker.id(), worker.capacity()));
        Set<AttemptId> inside = insideGuarantees();
        running.forEach((task, part) -> {
            JobSpec job = jobs.get(task.attempt().job());
            boolean unmovable = !job.reclaimable() && part.sinceMs() <= lastLossMs;
            if (unmovable || inside.contains(task.attempt())) {
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
        Set<AttemptId> inside = insideGuarantees();
        for (Map.Entry<TaskId, Running> entry : running.entrySet()) {
            JobSpec job = jobs.get(entry.getKey().attempt().job());
            boolean held = inside.contains(entry.getKey().attempt()) || !job.reclaimable();
            if (held && job.workspace().equals(workspace)) {
                sum += job.shape().perPart().accelerators();
            }
        }
        return sum;
    }

    private Set<AttemptId> insideGuarantees() {
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
            GuaranteeCoverage.indexesInside(rules, shapes).forEach(index -> inside.add(attempts.get(index)));
        });
        return inside;
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
