package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Checks the users' rule on standing jobs against the simulated workers and the stored records: no job may have nothing
 * running for three seconds while a unit of it is ready, there is capacity for it twice over, and under half of the
 * capacity is in use.
 */
final class StandingRule {

    private static final long MAX_STANDING_MS = 3000;
    private static final long CHECK_INTERVAL_MS = 100;

    /** Time in ms after an outage of the store or a change of owner in which nothing is checked. */
    private static final long UNSETTLED_MS = 3000;

    private final OwnerHarness harness;
    private final Map<String, Long> standingSinceMs = new HashMap<>();
    private final Set<String> violating = new HashSet<>();
    private final List<Violation> violations = new ArrayList<>();
    private long unsettledUntilMs;
    private long lastEpoch;

    /**
     * A job that stood.
     *
     * @param job id of the job
     * @param sinceMs virtual time in ms from which on it stood
     * @param gangTasks number of tasks of the unit that was ready
     * @param cause cause that the owner has logged last; empty if it logged none
     */
    record Violation(String job, long sinceMs, int gangTasks, String cause) {}

    StandingRule(OwnerHarness harness) {
        this.harness = harness;
    }

    /** Starts to check at regular times. */
    void start() {
        harness.schedule(CHECK_INTERVAL_MS, () -> {
            check();
            start();
        });
    }

    List<Violation> violations() {
        return violations;
    }

    private void check() {
        if (harness.storeDown || harness.epoch != lastEpoch) {
            lastEpoch = harness.epoch;
            unsettledUntilMs = harness.nowMs + UNSETTLED_MS;
        }
        if (harness.nowMs < unsettledUntilMs || underUse() >= 0.5) {
            standingSinceMs.clear();
            return;
        }
        Set<String> runningJobs = new HashSet<>();
        harness.workers.values().forEach(worker -> worker.running
                .keySet()
                .forEach(run -> runningJobs.add(run.task().job())));
        for (Submission job : harness.submissions.values()) {
            Optional<StepSpec> standing = runningJobs.contains(job.id())
                    ? Optional.empty()
                    : readySteps(job).stream().filter(this::fitsTwice).findFirst();
            if (standing.isEmpty()) {
                standingSinceMs.remove(job.id());
                violating.remove(job.id());
                continue;
            }
            long sinceMs = standingSinceMs.computeIfAbsent(job.id(), id -> harness.nowMs);
            if (harness.nowMs - sinceMs >= MAX_STANDING_MS && violating.add(job.id())) {
                StepSpec step = standing.get();
                violations.add(new Violation(job.id(), sinceMs, step.gang() ? step.count() : 1, cause(job.id())));
            }
        }
    }

    private List<FakeWorker> soundWorkers() {
        return harness.workers.values().stream()
                .filter(worker -> !worker.silent && !worker.failsAllRuns && !worker.hangs)
                .toList();
    }

    /** Returns the largest of the shares of accelerators, processor time and memory in use. */
    private double underUse() {
        List<ToIntFunction<Resources>> kinds =
                List.of(Resources::accelerators, Resources::cpuMillis, Resources::memoryMb);
        return kinds.stream()
                .mapToDouble(kind -> {
                    long capacity = 0;
                    long free = 0;
                    for (FakeWorker worker : soundWorkers()) {
                        capacity += kind.applyAsInt(worker.capacity);
                        free += kind.applyAsInt(free(worker));
                    }
                    return capacity == 0 ? 1 : 1 - (double) free / capacity;
                })
                .max()
                .orElse(1);
    }

    private Resources free(FakeWorker worker) {
        Resources free = worker.capacity;
        for (var run : worker.running.keySet()) {
            free = free.minus(harness.step(run.task()).perTask());
        }
        return free;
    }

    /** Returns the steps of a job of which a unit could start. */
    private List<StepSpec> readySteps(Submission job) {
        CellRecord stored = harness.stored.get(CellRecord.Progress.PREFIX + job.id());
        CellRecord.Progress progress = stored instanceof CellRecord.Progress found ? found : null;
        if (progress != null && progress.phase().ended()
                || harness.stored.containsKey(CellRecord.CancelRequested.PREFIX + job.id())) {
            return List.of();
        }
        List<StepSpec> ready = new ArrayList<>();
        for (int step = 0; step < job.steps().size(); step++) {
            StepSpec spec = job.steps().get(step);
            boolean after = spec.after().stream()
                    .allMatch(earlier ->
                            done(progress, earlier) == job.steps().get(earlier).count());
            if (after && done(progress, step) < spec.count()) {
                ready.add(spec);
            }
        }
        return ready;
    }

    private static long done(CellRecord.Progress progress, int step) {
        return progress == null
                ? 0
                : progress.steps().get(step).stream()
                        .filter(task -> task.phase() == TaskPhase.DONE)
                        .count();
    }

    private boolean fitsTwice(StepSpec step) {
        int needed = 2 * (step.gang() ? step.count() : 1);
        for (FakeWorker worker : soundWorkers()) {
            boolean labelled = step.requiredLabel()
                    .map(label -> label.equals("a") || label.equals(worker.rack))
                    .orElse(true);
            Resources left = free(worker);
            int max = step.maxPerWorker() == 0 ? needed : 2 * step.maxPerWorker();
            for (int i = 0; labelled && i < max && step.perTask().fitsIn(left); i++) {
                left = left.minus(step.perTask());
                needed--;
            }
        }
        return needed <= 0;
    }

    private String cause(String job) {
        List<Map<String, String>> lines = harness.lines.of("job-standing").stream()
                .filter(line -> line.get("request").equals(job))
                .toList();
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1).get("cause");
    }

    /** Returns the number of violations by cause. */
    Map<String, Integer> causes() {
        Map<String, Integer> causes = new TreeMap<>();
        violations.forEach(violation -> causes.merge(violation.cause(), 1, Integer::sum));
        return causes;
    }
}
