package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Simulates one day of a site against the owner on a virtual clock and computes the utility of the day as the users
 * define it: the weighted shares of the possible utility that were earned over the day, in its two worst windows of two
 * seconds and in its worst queue, less the cost of wasted work.
 */
final class DayModel {

    /** Time in ms after the day in which its jobs may still end. */
    private static final long COOL_DOWN_MS = 40_000;

    private static final long WINDOW_MS = 2000;
    private static final double LATE_FACTOR = 3;
    private static final double FIXED_SHARE = 0.3;
    private static final double MAX_SIZE_FACTOR = 4;
    private static final double CORES_PER_ACCELERATOR = 8;
    private static final double WASTED_WORK_COST = 0.0021;

    private final SiteModel site;
    private final DayWorkload workload;
    private final OwnerHarness harness = new OwnerHarness();
    private final Map<String, Long> endedMs = new HashMap<>();

    /**
     * Result of a day.
     *
     * @param utility utility of the day
     * @param whole share of the possible utility that was earned
     * @param windows mean of that share in the two worst windows of two seconds
     * @param queues that share by queue
     * @param wasted core-seconds of wasted work
     * @param wasteCost cost of the wasted work, relative to the possible utility
     */
    record Result(
            double utility,
            double whole,
            double windows,
            Map<String, Double> queues,
            double wasted,
            double wasteCost) {}

    /** Possible utility and earned utility. */
    private static final class UtilityTally {
        private double possible;
        private double earned;

        private double share() {
            return possible == 0 ? 1 : earned / possible;
        }
    }

    DayModel(SiteModel site, DayWorkload.LoadProfile profile, long seed) {
        this.site = site;
        this.workload = new DayWorkload(site, profile, seed);
        SplittableRandom random = new SplittableRandom(seed ^ 0x5DEECE66DL);
        for (int i = 0; i < site.workers(); i++) {
            FakeWorker worker = harness.worker(String.format("w%02d", i), "r" + i / site.rackSize());
            worker.capacity = site.capacity();
            worker.speed = site.speeds().get(random.nextInt(site.speeds().size()));
        }
        harness.groundTruth = workload;
        harness.gangsSynchronized = true;
        harness.guarantees = site.guarantees();
    }

    OwnerHarness harness() {
        return harness;
    }

    Result simulate() {
        harness.takeOver();
        for (DayWorkload.Arrival arrival : workload.arrivals()) {
            harness.schedule(DayWorkload.WARM_UP_MS + arrival.atMs(), () -> submit(arrival));
        }
        long untilMs = DayWorkload.WARM_UP_MS + DayWorkload.LENGTH_MS + COOL_DOWN_MS;
        for (long atMs = 0; atMs < untilMs; atMs += 50) {
            harness.run(50);
            recordEnds();
        }
        return result();
    }

    private void submit(DayWorkload.Arrival arrival) {
        String id = arrival.submission().id();
        harness.submit(arrival.submission());
        arrival.cancelAfterMs()
                .ifPresent(afterMs -> harness.schedule(afterMs, () -> {
                    if (harness.phase(id).filter(JobPhase::ended).isEmpty()) {
                        harness.cancel(id);
                    }
                }));
    }

    private void recordEnds() {
        for (DayWorkload.Arrival arrival : workload.arrivals()) {
            String id = arrival.submission().id();
            JobPhase expected = arrival.alwaysFails() ? JobPhase.FAILED : JobPhase.COMPLETED;
            CellRecord record = harness.stored.get(CellRecord.Progress.PREFIX + id);
            if (record instanceof CellRecord.Progress progress && progress.phase() == expected) {
                endedMs.putIfAbsent(id, progress.endedAtMs());
            }
        }
    }

    private Result result() {
        UtilityTally whole = new UtilityTally();
        Map<String, UtilityTally> queues = new TreeMap<>();
        Map<Long, UtilityTally> windows = new TreeMap<>();
        Map<String, Double> meanCoreSeconds = meanCoreSeconds();
        for (DayWorkload.Arrival arrival : workload.arrivals()) {
            if (arrival.atMs() < 0 || arrival.cancelAfterMs().isPresent()) {
                continue;
            }
            double factor = Math.min(
                    MAX_SIZE_FACTOR,
                    FIXED_SHARE
                            + (1 - FIXED_SHARE)
                                    * coreSeconds(arrival)
                                    / meanCoreSeconds.get(arrival.queue().name()));
            List<UtilityTally> tallies = List.of(
                    whole,
                    queues.computeIfAbsent(arrival.queue().name(), name -> new UtilityTally()),
                    windows.computeIfAbsent(arrival.atMs() / WINDOW_MS, window -> new UtilityTally()));
            double earned = factor * earned(arrival);
            for (UtilityTally tally : tallies) {
                tally.possible += factor * arrival.queue().utility();
                tally.earned += earned;
            }
        }
        return result(whole, queues, windows);
    }

    private Result result(UtilityTally whole, Map<String, UtilityTally> queues, Map<Long, UtilityTally> windows) {
        double worstWindows = windows.values().stream()
                .mapToDouble(UtilityTally::share)
                .sorted()
                .limit(2)
                .average()
                .orElse(1);
        Map<String, Double> byQueue = new TreeMap<>();
        queues.forEach((name, tally) -> byQueue.put(name, tally.share()));
        double worstQueue =
                byQueue.values().stream().mapToDouble(share -> share).min().orElse(1);
        double wasted = wasted();
        double wasteCost = WASTED_WORK_COST * wasted / Math.max(1, whole.possible);
        SiteModel.Weights weights = site.weights();
        double utility = (weights.whole() + weights.workspaces()) * whole.share()
                + weights.windows() * worstWindows
                + weights.queue() * worstQueue
                - wasteCost;
        return new Result(utility, whole.share(), worstWindows, byQueue, wasted, wasteCost);
    }

    private double earned(DayWorkload.Arrival arrival) {
        Long ended = endedMs.get(arrival.submission().id());
        if (ended == null) {
            return 0;
        }
        long ageMs = ended - arrival.submission().acceptedAtMs();
        if (ageMs <= arrival.objectiveMs()) {
            return arrival.queue().utility();
        }
        return ageMs <= LATE_FACTOR * arrival.objectiveMs() ? arrival.queue().lateUtility() : 0;
    }

    private double wasted() {
        return harness.workers.values().stream()
                .mapToDouble(worker -> worker.wastedMs.entrySet().stream()
                        .mapToDouble(entry -> entry.getValue()
                                / 1000
                                * cores(harness.step(entry.getKey().task())))
                        .sum())
                .sum();
    }

    private static double cores(StepSpec step) {
        return step.perTask().cpuMillis() / 1000.0
                + CORES_PER_ACCELERATOR * step.perTask().accelerators();
    }

    private double coreSeconds(DayWorkload.Arrival arrival) {
        double coreSeconds = 0;
        List<StepSpec> steps = arrival.submission().steps();
        for (int step = 0; step < steps.size(); step++) {
            for (int index = 0; index < steps.get(step).count(); index++) {
                TaskRef task = new TaskRef(arrival.submission().id(), step, index);
                coreSeconds += workload.workMs(task) / 1000 * cores(steps.get(step));
            }
        }
        return coreSeconds;
    }

    private Map<String, Double> meanCoreSeconds() {
        Map<String, List<Double>> coreSecondsByQueue = new HashMap<>();
        for (DayWorkload.Arrival arrival : workload.arrivals()) {
            coreSecondsByQueue
                    .computeIfAbsent(arrival.queue().name(), name -> new ArrayList<>())
                    .add(coreSeconds(arrival));
        }
        Map<String, Double> means = new HashMap<>();
        coreSecondsByQueue.forEach((name, values) -> means.put(
                name, values.stream().mapToDouble(value -> value).average().orElse(1)));
        return means;
    }
}
