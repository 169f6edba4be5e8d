package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;

/** Generated workload of one day at a site, with the actual run times and failures. Deterministic for a seed. */
final class DayWorkload implements OwnerHarness.GroundTruth {

    /** Warm-up time in ms before the day; jobs that arrive in it do not count. */
    static final long WARM_UP_MS = 8000;

    /** Length of the day in ms. */
    static final long LENGTH_MS = 34_000;

    /** Share of the site's accelerators beyond which a step is assumed to run in waves. */
    private static final double MAX_WAVE_SHARE = 0.25;

    /** Share of the jobs by workspace; skewed towards the first ones. */
    private static final double[] WORKSPACE_SHARES = {0.4, 0.27, 0.19, 0.14};

    /** Maximum number of workers that a gang fills. */
    private static final int MAX_GANG_WORKERS = 5;

    private final SiteModel site;
    private final SplittableRandom random;
    private final long seed;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Map<TaskRef, Double> workMs = new HashMap<>();
    private final Map<String, Double> failingRuns = new HashMap<>();

    /**
     * Load profile of a day.
     *
     * @param load arrival rates as a multiple of the ordinary ones
     * @param burstFactor factor on the arrival rate of urgent jobs during the burst
     * @param burstAtMs start of the burst, in ms from the start of the day
     * @param burstForMs length of the burst in ms
     */
    record LoadProfile(double load, double burstFactor, long burstAtMs, long burstForMs) {}

    /**
     * Arrival of a job.
     *
     * @param atMs time in ms from the start of the day; negative during the warm-up
     * @param queue its queue
     * @param submission the job as submitted
     * @param cancelAfterMs time in ms after which the caller cancels the job; empty if it does not
     * @param objectiveMs completion objective in ms, from the actual run times
     * @param alwaysFails whether all runs of the job fail
     */
    record Arrival(
            long atMs,
            SiteModel.QueueLoad queue,
            Submission submission,
            OptionalLong cancelAfterMs,
            double objectiveMs,
            boolean alwaysFails) {}

    DayWorkload(SiteModel site, LoadProfile profile, long seed) {
        this.site = site;
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        for (SiteModel.QueueLoad queue : site.queues()) {
            double atMs = -WARM_UP_MS;
            while (true) {
                boolean burst = queue.rules().priority() == 0
                        && atMs >= profile.burstAtMs()
                        && atMs < profile.burstAtMs() + profile.burstForMs();
                double perMs = queue.jobsPerS() * profile.load() * (burst ? profile.burstFactor() : 1) / 1000;
                atMs += -Math.log(1 - random.nextDouble()) / perMs;
                if (atMs >= LENGTH_MS) {
                    break;
                }
                arrivals.add(arrival(queue, (long) atMs));
            }
        }
        arrivals.sort((left, right) -> Long.compare(left.atMs(), right.atMs()));
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    private Arrival arrival(SiteModel.QueueLoad queue, long atMs) {
        String id = String.format("%s-%04d", queue.name(), arrivals.size());
        SiteModel.Traits traits = queue.traits();
        int count = random.nextDouble() < traits.twoSteps() ? 2 : 1;
        int accelerators =
                queue.accelerators().get(random.nextInt(queue.accelerators().size()));
        List<StepSpec> steps = new ArrayList<>();
        double criticalPathMs = 0;
        for (int step = 0; step < count; step++) {
            double meanMs = logNormal(queue.run().meanMs(), queue.run().spread());
            StepSpec spec = step(queue, step, accelerators, meanMs);
            steps.add(spec);
            criticalPathMs += stepMs(id, step, queue, spec, meanMs);
        }
        boolean alwaysFails = random.nextDouble() < traits.alwaysFails();
        failingRuns.put(id, alwaysFails ? 1 : traits.failingRuns());
        OptionalLong cancelAfterMs = random.nextDouble() < traits.cancelled()
                ? OptionalLong.of(500 + random.nextInt(8000))
                : OptionalLong.empty();
        Submission submission = new Submission(
                id,
                queue.name(),
                "desk",
                SiteModel.workspace(workspace()),
                queue.rules(),
                OwnerHarness.START_MS + WARM_UP_MS + atMs,
                "payload",
                steps);
        double objectiveMs =
                queue.rules().slackFactor() * criticalPathMs + queue.rules().targetMs();
        return new Arrival(atMs, queue, submission, cancelAfterMs, objectiveMs, alwaysFails);
    }

    private StepSpec step(SiteModel.QueueLoad queue, int step, int accelerators, double meanMs) {
        int width =
                (int) Math.round(logNormal(queue.width().mean(), queue.width().spread()));
        Resources need = queue.perTask().plus(new Resources(0, 0, accelerators, 0, 0));
        int maxTasks = queue.traits().gangs()
                ? MAX_GANG_WORKERS * perWorker(need)
                : queue.width().max();
        int tasks = Math.max(1, Math.min(Math.min(queue.width().max(), maxTasks), width));
        boolean gang = queue.traits().gangs() && tasks > 1;
        boolean halfRack = tasks <= site.rackSize() / 2 * perWorker(need);
        double estimate = meanMs * Math.exp(gaussian() * queue.run().estimateError());
        return new StepSpec(
                tasks,
                need,
                Math.max(50, Math.round(estimate)),
                step == 0 ? List.of() : List.of(step - 1),
                gang,
                gang && halfRack && random.nextDouble() < queue.traits().sameRack(),
                random.nextDouble() < queue.traits().checkpoints(),
                0,
                Optional.empty(),
                Optional.empty());
    }

    private int perWorker(Resources need) {
        int count = 0;
        Resources left = site.capacity();
        while (need.fitsIn(left)) {
            left = left.minus(need);
            count++;
        }
        return count;
    }

    /** Draws the run times of a step's tasks; returns the longest, times the number of waves of a wide step. */
    private double stepMs(String id, int step, SiteModel.QueueLoad queue, StepSpec spec, double meanMs) {
        double longestMs = 0;
        for (int index = 0; index < spec.count(); index++) {
            double variation = 1 + queue.run().variation() * (2 * random.nextDouble() - 1);
            workMs.put(new TaskRef(id, step, index), meanMs * variation);
            longestMs = Math.max(longestMs, meanMs * variation);
        }
        double waveAccelerators =
                MAX_WAVE_SHARE * site.workers() * site.capacity().accelerators();
        return longestMs * Math.max(1, Math.ceil(spec.count() * spec.perTask().accelerators() / waveAccelerators));
    }

    private int workspace() {
        double draw = random.nextDouble();
        int index = 0;
        while (index < SiteModel.workspaces() - 1 && draw >= WORKSPACE_SHARES[index]) {
            draw -= WORKSPACE_SHARES[index++];
        }
        return index;
    }

    private double logNormal(double mean, double sigma) {
        return mean * Math.exp(gaussian() * sigma - sigma * sigma / 2);
    }

    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    @Override
    public double workMs(TaskRef task) {
        return workMs.get(task);
    }

    @Override
    public double failsAt(TaskRun run) {
        SplittableRandom draw = new SplittableRandom(seed * 31 + run.toString().hashCode());
        return draw.nextDouble() < failingRuns.get(run.task().job()) ? draw.nextDouble() : 2;
    }

    @Override
    public long stopMs() {
        return site.stopMs() / 3 + random.nextLong(site.stopMs() * 2 / 3);
    }
}
