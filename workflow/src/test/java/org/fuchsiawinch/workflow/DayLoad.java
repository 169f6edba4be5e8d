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
final class DayLoad implements OwnerRig.Truth {

    /** Warm-up time in ms before the day; jobs that arrive in it do not count. */
    static final long LEAD_MS = 8000;

    /** Length of the day in ms. */
    static final long LENGTH_MS = 34_000;

    /** Share of the site's accelerators beyond which a step is assumed to run in waves. */
    private static final double WAVE_SHARE = 0.25;

    /** Share of the jobs by workspace; skewed towards the first ones. */
    private static final double[] WORKSPACE_SHARES = {0.4, 0.27, 0.19, 0.14};

    /** Maximum number of workers that a gang fills. */
    private static final int GANG_WORKERS = 5;

    private final DaySite site;
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
    record Shape(double load, double burstFactor, long burstAtMs, long burstForMs) {}

    /**
     * Arrival of a job.
     *
     * @param atMs time in ms from the start of the day; negative during the warm-up
     * @param queue its queue
     * @param submission the job as submitted
     * @param cancelAfterMs time in ms after which the caller cancels the job; empty if it does not
     * @param objectiveMs completion objective in ms, from the actual run times
     * @param neverDone whether all runs of the job fail
     */
    record Arrival(
            long atMs,
            DaySite.QueueLoad queue,
            Submission submission,
            OptionalLong cancelAfterMs,
            double objectiveMs,
            boolean neverDone) {}

    DayLoad(DaySite site, Shape shape, long seed) {
        this.site = site;
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        for (DaySite.QueueLoad queue : site.queues()) {
            double atMs = -LEAD_MS;
            while (true) {
                boolean burst = queue.rules().priority() == 0
                        && atMs >= shape.burstAtMs()
                        && atMs < shape.burstAtMs() + shape.burstForMs();
                double perMs = queue.perS() * shape.load() * (burst ? shape.burstFactor() : 1) / 1000;
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

    private Arrival arrival(DaySite.QueueLoad queue, long atMs) {
        String id = String.format("%s-%04d", queue.name(), arrivals.size());
        DaySite.Traits traits = queue.traits();
        int count = random.nextDouble() < traits.twoSteps() ? 2 : 1;
        int accelerators =
                queue.accelerators().get(random.nextInt(queue.accelerators().size()));
        List<StepSpec> steps = new ArrayList<>();
        double chainMs = 0;
        for (int step = 0; step < count; step++) {
            double meanMs = spread(queue.run().meanMs(), queue.run().spread());
            StepSpec spec = step(queue, step, accelerators, meanMs);
            steps.add(spec);
            chainMs += stepMs(id, step, queue, spec, meanMs);
        }
        boolean neverDone = random.nextDouble() < traits.neverDone();
        failingRuns.put(id, neverDone ? 1 : traits.failingRuns());
        OptionalLong cancelAfterMs = random.nextDouble() < traits.cancelled()
                ? OptionalLong.of(500 + random.nextInt(8000))
                : OptionalLong.empty();
        Submission submission = new Submission(
                id,
                queue.name(),
                "desk",
                DaySite.workspace(workspace()),
                queue.rules(),
                OwnerRig.START_MS + LEAD_MS + atMs,
                "payload",
                steps);
        double objectiveMs =
                queue.rules().slackFactor() * chainMs + queue.rules().targetMs();
        return new Arrival(atMs, queue, submission, cancelAfterMs, objectiveMs, neverDone);
    }

    private StepSpec step(DaySite.QueueLoad queue, int step, int accelerators, double meanMs) {
        int width = (int) Math.round(spread(queue.width().mean(), queue.width().spread()));
        Resources need = queue.perTask().plus(new Resources(0, 0, accelerators, 0, 0));
        int most = queue.traits().gangs()
                ? GANG_WORKERS * perWorker(need)
                : queue.width().most();
        int tasks = Math.max(1, Math.min(Math.min(queue.width().most(), most), width));
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
    private double stepMs(String id, int step, DaySite.QueueLoad queue, StepSpec spec, double meanMs) {
        double longestMs = 0;
        for (int index = 0; index < spec.count(); index++) {
            double uneven = 1 + queue.run().uneven() * (2 * random.nextDouble() - 1);
            workMs.put(new TaskRef(id, step, index), meanMs * uneven);
            longestMs = Math.max(longestMs, meanMs * uneven);
        }
        double room = WAVE_SHARE * site.workers() * site.capacity().accelerators();
        return longestMs * Math.max(1, Math.ceil(spec.count() * spec.perTask().accelerators() / room));
    }

    private int workspace() {
        double dice = random.nextDouble();
        int index = 0;
        while (index < DaySite.workspaces() - 1 && dice >= WORKSPACE_SHARES[index]) {
            dice -= WORKSPACE_SHARES[index++];
        }
        return index;
    }

    private double spread(double mean, double sigma) {
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
        SplittableRandom dice = new SplittableRandom(seed * 31 + run.toString().hashCode());
        return dice.nextDouble() < failingRuns.get(run.task().job()) ? dice.nextDouble() : 2;
    }

    @Override
    public long stopMs() {
        return site.stopMs() / 3 + random.nextLong(site.stopMs() * 2 / 3);
    }
}
