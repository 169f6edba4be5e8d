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
    private static final long AFTER_MS = 40_000;

    private static final long WINDOW_MS = 2000;
    private static final double LATE_FACTOR = 3;
    private static final double FIXED_SHARE = 0.3;
    private static final double MOST_FACTOR = 4;
    private static final double CORES_PER_ACCELERATOR = 8;
    private static final double WASTE_PRICE = 0.0021;

    private final DaySite site;
    private final DayLoad load;
    private final OwnerRig rig = new OwnerRig();
    private final Map<String, Long> endedMs = new HashMap<>();

    /**
     * Result of a day.
     *
     * @param worth utility of the day
     * @param whole share of the possible utility that was earned
     * @param windows mean of that share in the two worst windows
     * @param queues that share by queue
     * @param wasted core-seconds of wasted work
     * @param wastePrice cost of the wasted work, relative to the possible utility
     */
    record Result(
            double worth, double whole, double windows, Map<String, Double> queues, double wasted, double wastePrice) {}

    /** Possible utility and earned utility. */
    private static final class Account {
        private double owed;
        private double earned;

        private double share() {
            return owed == 0 ? 1 : earned / owed;
        }
    }

    DayModel(DaySite site, DayLoad.Shape shape, long seed) {
        this.site = site;
        this.load = new DayLoad(site, shape, seed);
        SplittableRandom random = new SplittableRandom(seed ^ 0x5DEECE66DL);
        for (int i = 0; i < site.workers(); i++) {
            FakeWorker worker = rig.worker(String.format("w%02d", i), "r" + i / site.rackSize());
            worker.capacity = site.capacity();
            worker.speed = site.speeds().get(random.nextInt(site.speeds().size()));
        }
        rig.truth = load;
        rig.gangsEndTogether = true;
        rig.guarantees = site.guarantees();
    }

    OwnerRig rig() {
        return rig;
    }

    Result play() {
        rig.takeOver();
        for (DayLoad.Arrival arrival : load.arrivals()) {
            rig.later(DayLoad.LEAD_MS + arrival.atMs(), () -> submit(arrival));
        }
        long untilMs = DayLoad.LEAD_MS + DayLoad.LENGTH_MS + AFTER_MS;
        for (long atMs = 0; atMs < untilMs; atMs += 50) {
            rig.run(50);
            noteEnds();
        }
        return result();
    }

    private void submit(DayLoad.Arrival arrival) {
        String id = arrival.submission().id();
        rig.submit(arrival.submission());
        arrival.cancelAfterMs()
                .ifPresent(afterMs -> rig.later(afterMs, () -> {
                    if (rig.phase(id).filter(JobPhase::ended).isEmpty()) {
                        rig.cancel(id);
                    }
                }));
    }

    private void noteEnds() {
        for (DayLoad.Arrival arrival : load.arrivals()) {
            String id = arrival.submission().id();
            JobPhase wanted = arrival.neverDone() ? JobPhase.FAILED : JobPhase.COMPLETED;
            CellRecord record = rig.stored.get(CellRecord.Progress.PREFIX + id);
            if (record instanceof CellRecord.Progress progress && progress.phase() == wanted) {
                endedMs.putIfAbsent(id, progress.endedAtMs());
            }
        }
    }

    private Result result() {
        Account whole = new Account();
        Map<String, Account> queues = new TreeMap<>();
        Map<Long, Account> windows = new TreeMap<>();
        Map<String, Double> meanWork = meanWork();
        for (DayLoad.Arrival arrival : load.arrivals()) {
            if (arrival.atMs() < 0 || arrival.cancelAfterMs().isPresent()) {
                continue;
            }
            double factor = Math.min(
                    MOST_FACTOR,
                    FIXED_SHARE
                            + (1 - FIXED_SHARE)
                                    * work(arrival)
                                    / meanWork.get(arrival.queue().name()));
            List<Account> accounts = List.of(
                    whole,
                    queues.computeIfAbsent(arrival.queue().name(), name -> new Account()),
                    windows.computeIfAbsent(arrival.atMs() / WINDOW_MS, window -> new Account()));
            double earned = factor * earned(arrival);
            for (Account account : accounts) {
                account.owed += factor * arrival.queue().worth();
                account.earned += earned;
            }
        }
        return result(whole, queues, windows);
    }

    private Result result(Account whole, Map<String, Account> queues, Map<Long, Account> windows) {
        double worstWindows = windows.values().stream()
                .mapToDouble(Account::share)
                .sorted()
                .limit(2)
                .average()
                .orElse(1);
        Map<String, Double> byQueue = new TreeMap<>();
        queues.forEach((name, account) -> byQueue.put(name, account.share()));
        double worstQueue =
                byQueue.values().stream().mapToDouble(share -> share).min().orElse(1);
        double wasted = wasted();
        double wastePrice = WASTE_PRICE * wasted / Math.max(1, whole.owed);
        DaySite.Weights weights = site.weights();
        double worth = (weights.whole() + weights.workspaces()) * whole.share()
                + weights.windows() * worstWindows
                + weights.queue() * worstQueue
                - wastePrice;
        return new Result(worth, whole.share(), worstWindows, byQueue, wasted, wastePrice);
    }

    private double earned(DayLoad.Arrival arrival) {
        Long ended = endedMs.get(arrival.submission().id());
        if (ended == null) {
            return 0;
        }
        long ageMs = ended - arrival.submission().acceptedAtMs();
        if (ageMs <= arrival.objectiveMs()) {
            return arrival.queue().worth();
        }
        return ageMs <= LATE_FACTOR * arrival.objectiveMs() ? arrival.queue().lateWorth() : 0;
    }

    private double wasted() {
        return rig.workers.values().stream()
                .mapToDouble(worker -> worker.thrownAwayMs.entrySet().stream()
                        .mapToDouble(entry -> entry.getValue()
                                / 1000
                                * cores(rig.step(entry.getKey().task())))
                        .sum())
                .sum();
    }

    private static double cores(StepSpec step) {
        return step.perTask().cpuMillis() / 1000.0
                + CORES_PER_ACCELERATOR * step.perTask().accelerators();
    }

    private double work(DayLoad.Arrival arrival) {
        double work = 0;
        List<StepSpec> steps = arrival.submission().steps();
        for (int step = 0; step < steps.size(); step++) {
            for (int index = 0; index < steps.get(step).count(); index++) {
                TaskRef task = new TaskRef(arrival.submission().id(), step, index);
                work += load.workMs(task) / 1000 * cores(steps.get(step));
            }
        }
        return work;
    }

    private Map<String, Double> meanWork() {
        Map<String, List<Double>> works = new HashMap<>();
        for (DayLoad.Arrival arrival : load.arrivals()) {
            works.computeIfAbsent(arrival.queue().name(), name -> new ArrayList<>())
                    .add(work(arrival));
        }
        Map<String, Double> means = new HashMap<>();
        works.forEach((name, values) -> means.put(
                name, values.stream().mapToDouble(value -> value).average().orElse(1)));
        return means;
    }
}
