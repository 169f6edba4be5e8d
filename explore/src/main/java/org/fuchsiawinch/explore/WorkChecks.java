package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.explore.Violation.Promise;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.worker.TaskState;

/** Checks the runs of parts on workers against the promises on gangs, repeated runs, capacity and leaving workers. */
final class WorkChecks {

    private final History history;
    private final PartRuns runs;
    private final List<Violation> violations;

    private WorkChecks(History history, PartRuns runs, List<Violation> violations) {
        this.history = history;
        this.runs = runs;
        this.violations = violations;
    }

    static void check(History history, PartRuns runs, List<Violation> violations) {
        WorkChecks checks = new WorkChecks(history, runs, violations);
        checks.checkGangs();
        checks.checkAtMostOnce();
        checks.checkOvercommit();
        checks.checkLeaving();
    }

    private void checkGangs() {
        Map<String, JobSpec> specs = new HashMap<>();
        history.schedule().jobs().forEach(plan -> specs.put(plan.spec().id().value(), plan.spec()));
        for (Map.Entry<AttemptId, List<PartRuns.Run>> entry : runs.byAttempt().entrySet()) {
            JobSpec spec = specs.get(entry.getKey().job().value());
            if (spec != null && spec.shape().parts() > 1) {
                checkGang(entry.getKey(), entry.getValue(), spec.shape().parts());
            }
        }
    }

    private void checkGang(AttemptId attempt, List<PartRuns.Run> attemptRuns, int parts) {
        Optional<Long> firstRanMs =
                attemptRuns.stream().flatMap(run -> run.ranMs().stream()).min(Comparator.naturalOrder());
        if (firstRanMs.isEmpty()) {
            return;
        }
        for (int part = 0; part < parts; part++) {
            int index = part;
            List<PartRuns.Run> ofPart = attemptRuns.stream()
                    .filter(run -> run.task().part() == index)
                    .toList();
            if (ofPart.stream().noneMatch(run -> run.takenMs() <= firstRanMs.get())) {
                add(Promise.GANG_WHOLE, firstRanMs.get(), attempt + " began before part " + part + " was taken");
                return;
            }
            if (ofPart.stream().anyMatch(run -> run.endedIn(TaskState.COMPLETED))) {
                continue;
            }
            long lostMs = ofPart.stream()
                    .mapToLong(run -> Math.max(run.endedMs(), firstRanMs.get()))
                    .max()
                    .orElse(firstRanMs.get());
            checkOtherParts(attempt, attemptRuns, part, lostMs);
        }
    }

    private void checkOtherParts(AttemptId attempt, List<PartRuns.Run> attemptRuns, int part, long lostMs) {
        for (PartRuns.Run run : attemptRuns) {
            boolean ranTooLong = run.ranMs().isPresent()
                    && Math.min(run.endedMs(), history.endMs()) - lostMs > PromiseBounds.GANG_PARTIAL_MS;
            if (run.task().part() != part && ranTooLong) {
                add(
                        Promise.GANG_WHOLE,
                        run.endedMs(),
                        run.task() + " ran on after part " + part + " was lost at " + lostMs);
                return;
            }
        }
    }

    private void checkAtMostOnce() {
        for (JobPlan plan : history.schedule().jobs()) {
            if (plan.spec().idempotent()) {
                continue;
            }
            List<PartRuns.Run> ran = runs.all().stream()
                    .filter(run -> run.task().attempt().job().equals(plan.spec().id()))
                    .filter(run -> run.ranMs().isPresent())
                    .toList();
            for (int part = 0; part < plan.spec().shape().parts(); part++) {
                checkPartOnce(plan.spec(), part, ran);
            }
        }
    }

    private void checkPartOnce(JobSpec spec, int part, List<PartRuns.Run> ran) {
        List<PartRuns.Run> ofPart = ran.stream()
                .filter(run -> run.task().part() == part)
                .sorted(Comparator.comparingLong(run -> run.ranMs().get()))
                .toList();
        for (int index = 0; index + 1 < ofPart.size(); index++) {
            PartRuns.Run earlier = ofPart.get(index);
            // A checkpointable part may be resumed on another worker once its earlier run has ended.
            boolean resumed = spec.checkpointable()
                    && (earlier.endedIn(TaskState.CHECKPOINTED) || earlier.endedIn(TaskState.COMPLETED))
                    && earlier.endedMs() <= ofPart.get(index + 1).takenMs();
            if (!resumed) {
                PartRuns.Run later = ofPart.get(index + 1);
                String detail = earlier.task() + " ran on " + earlier.worker() + " at "
                        + earlier.ranMs().get() + " and " + later.task() + " on " + later.worker();
                add(Promise.AT_MOST_ONCE, later.ranMs().get(), detail);
            }
        }
    }

    private void checkOvercommit() {
        Map<WorkerId, List<PartRuns.Run>> byWorker = new HashMap<>();
        runs.all().forEach(run -> byWorker.computeIfAbsent(run.worker(), id -> new ArrayList<>())
                .add(run));
        for (WorkerSpec worker : history.schedule().workers()) {
            List<PartRuns.Run> workerRuns = byWorker.getOrDefault(worker.id(), List.of());
            for (PartRuns.Run taken : workerRuns) {
                Resources held = Resources.NONE;
                for (PartRuns.Run other : workerRuns) {
                    boolean present = other.takenMs() <= taken.takenMs() && other.endedMs() > taken.takenMs();
                    held = present ? held.plus(other.resources()) : held;
                }
                if (!held.fitsIn(worker.capacity())) {
                    add(
                            Promise.NO_OVERCOMMIT,
                            taken.takenMs(),
                            worker.id() + " holds " + held + " with " + taken.task());
                }
            }
        }
    }

    private void checkLeaving() {
        for (Observation.WorkerLeaving leaving : history.of(Observation.WorkerLeaving.class)) {
            long backMs = history.of(Observation.WorkerBack.class).stream()
                    .filter(back -> back.worker().equals(leaving.worker()) && back.atMs() > leaving.atMs())
                    .mapToLong(Observation.WorkerBack::atMs)
                    .min()
                    .orElse(Long.MAX_VALUE);
            for (PartRuns.Run run : runs.all()) {
                boolean late = run.takenMs() > leaving.atMs() + PromiseBounds.LEAVING_MS && run.takenMs() < backMs;
                if (run.worker().equals(leaving.worker()) && late) {
                    add(
                            Promise.LEAVING_GETS_NOTHING,
                            run.takenMs(),
                            run.task() + " given to " + run.worker() + " that leaves since " + leaving.atMs());
                }
            }
        }
    }

    private void add(Promise promise, long atMs, String detail) {
        violations.add(new Violation(promise, atMs, detail));
    }
}
