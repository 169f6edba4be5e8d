package org.fuchsiawinch.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.Guarantees;

/**
 * A day from a seed with gangs that prefer one rack, urgent gangs, wide steps of single tasks, jobs that always fail,
 * and workers that are cut off, restart, turn slow or fail what they run, beside changes of owner and outages of the
 * store. The load leaves part of the fleet idle.
 */
final class StandingDay {

    static final long TRAFFIC_MS = 34_000;
    private static final long COOL_DOWN_MS = 40_000;
    private static final long WARM_UP_MS = 1000;
    private static final Resources CAPACITY = new Resources(32_000, 131_072, 8, 0, 0);
    private static final double[] SPEEDS = {0.7, 0.7, 1.7};
    private static final double SLOW_FACTOR = 0.15;

    private final OwnerHarness harness = new OwnerHarness();
    private final SplittableRandom random;
    private final Set<String> failingJobs = new HashSet<>();
    private final Map<TaskRef, Double> workMs = new HashMap<>();
    private final long seed;
    private int jobs;

    StandingDay(long seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        int rackSize = 6 + random.nextInt(7);
        int workers = random.nextBoolean() ? 32 : 72;
        for (int i = 0; i < workers; i++) {
            FakeWorker worker = harness.worker(String.format("w%03d", i), "r" + i / rackSize);
            worker.capacity = CAPACITY;
            worker.speed = SPEEDS[random.nextInt(SPEEDS.length)];
        }
        harness.gangsSynchronized = true;
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), workers));
        harness.groundTruth = new OwnerHarness.GroundTruth() {
            @Override
            public double workMs(TaskRef task) {
                return workMs.computeIfAbsent(
                        task, ref -> harness.step(ref).estimatedMs() * (0.8 + 0.4 * draw(ref.toString())));
            }

            @Override
            public double failsAt(TaskRun run) {
                boolean fails = failingJobs.contains(run.task().job()) || draw(run.toString()) < 0.005;
                return fails ? draw(run + "/") : 2;
            }
        };
    }

    /** Returns a number from 0 to 1 that depends on the seed and a name only. */
    private double draw(String name) {
        return new SplittableRandom(seed * 31 + name.hashCode()).nextDouble();
    }

    /** Simulates the day and returns what stood. */
    StandingRule simulate() {
        harness.takeOver();
        StandingRule rule = new StandingRule(harness);
        rule.start();
        harness.run(WARM_UP_MS);
        double jobsPerS = harness.workers.size() / 32.0 * (0.5 + random.nextDouble());
        for (double atMs = 0; atMs < TRAFFIC_MS; atMs += -Math.log(1 - random.nextDouble()) * 1000 / jobsPerS) {
            harness.schedule((long) atMs, this::submit);
        }
        for (FakeWorker worker : harness.workers.values()) {
            if (random.nextInt(12) == 0) {
                harness.schedule(random.nextInt((int) TRAFFIC_MS), () -> disturb(worker));
            }
        }
        for (int changes = random.nextInt(3); changes > 0; changes--) {
            harness.schedule(random.nextInt((int) TRAFFIC_MS), harness::takeOver);
        }
        for (int outages = random.nextInt(3); outages > 0; outages--) {
            harness.schedule(random.nextInt((int) TRAFFIC_MS), () -> {
                harness.storeDown = true;
                harness.schedule(2500 + random.nextInt(1500), () -> harness.storeDown = false);
            });
        }
        harness.run(TRAFFIC_MS + COOL_DOWN_MS);
        return rule;
    }

    private void submit() {
        String id = "job" + jobs++;
        switch (random.nextInt(4)) {
            case 0 -> submit(id, 1, 3, step(gangSize(30), 13_000, 68_000, accelerators(), 8500, true));
            case 1, 2 -> submit(id, 0, 1.5, step(gangSize(21), 3700, 11_000, accelerators(), 2500, true));
            default -> {
                if (random.nextInt(8) == 0) {
                    failingJobs.add(id);
                }
                submit(id, 2, 3, step(4 + random.nextInt(60), 2800, 15_000, 1, 7600, false));
            }
        }
    }

    private void submit(String id, int priority, double slack, StepSpec step) {
        harness.submit(new Submission(
                id,
                "q" + priority,
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(priority, 3, slack, 500),
                harness.nowMs,
                "payload",
                List.of(step)));
    }

    private int gangSize(int max) {
        return (int) Math.max(1, Math.min(max, Math.round(4 * Math.exp(0.8 * (2 * random.nextDouble() - 1)))));
    }

    private int accelerators() {
        return 1 << random.nextInt(4);
    }

    private StepSpec step(int count, int cpuMillis, int memoryMb, int accelerators, long meanMs, boolean gang) {
        long estimatedMs = Math.round(meanMs * Math.exp(0.8 * (2 * random.nextDouble() - 1)));
        boolean several = gang && count > 1;
        return new StepSpec(
                count,
                new Resources(cpuMillis, memoryMb, accelerators, 0, 0),
                estimatedMs,
                List.of(),
                several,
                several && random.nextInt(4) > 0,
                random.nextBoolean(),
                0,
                Optional.empty(),
                Optional.empty());
    }

    private void disturb(FakeWorker worker) {
        long forMs = 3000 + random.nextInt(20_000);
        switch (random.nextInt(4)) {
            case 0 -> {
                worker.silent = true;
                expireWhileSilent(worker);
                harness.schedule(forMs, () -> worker.silent = false);
            }
            case 1 -> worker.restart();
            case 2 -> {
                double before = worker.speed;
                worker.changeSpeed(before * SLOW_FACTOR);
                harness.schedule(forMs, () -> worker.changeSpeed(before));
            }
            default -> {
                worker.failsAllRuns = true;
                harness.schedule(forMs, () -> worker.failsAllRuns = false);
            }
        }
    }

    private void expireWhileSilent(FakeWorker worker) {
        worker.expire();
        if (worker.silent) {
            harness.schedule(100, () -> expireWhileSilent(worker));
        }
    }
}
