package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;

/**
 * Places units on workers during one scheduling pass. Each placement is deducted at once from the free capacity for the
 * next one. Not thread-safe; used for one pass.
 */
final class Placer {

    /**
     * Weight of leftover accelerators in a worker's score. The lowest score is chosen first, so that workers of equal
     * speed are packed one by one.
     */
    private static final double LEFTOVER_WEIGHT = 0.3;

    /**
     * Weight of a worker's slowness in its score: its run time as a multiple of that of a worker of speed 1. Slowness
     * lowers the score, so that slower workers are chosen first.
     */
    private static final double SLOW_WEIGHT = 0.3;

    /** Maximum slowness that counts in the score. */
    private static final double MAX_SLOWNESS = 2;

    /** Share of a job's utility that may be lost to a slower worker, in order to keep faster ones for other work. */
    private static final double MAX_SLOW_LOSS = 0.03;

    /** Safety factor on the run time on a slower worker, since speeds are estimates. */
    private static final double SLOW_RUN_TIME_MARGIN = 1.25;

    /** Share of all accelerators in use below which no headroom is kept, since enough are free anyway. */
    private static final double HEADROOM_MIN_USE = 0.5;

    /** Delay in ms whose cost decides whether a unit leaves the headroom free. */
    private static final double HEADROOM_DELAY_MS = 2000;

    /** Maximum share of a job's utility that {@link #HEADROOM_DELAY_MS} may cost if it leaves the headroom free. */
    private static final double HEADROOM_MAX_LOSS = 0.05;

    /**
     * Share of a service's workers in quarantine above which its quarantines are ignored. Work would stand still beside
     * mostly idle workers, and failures on most workers are rarely the workers' fault.
     */
    private static final double MAX_QUARANTINE_SHARE = 0.5;

    /** Rule that restricts the workers of a unit although it could run elsewhere; the cheapest to waive comes first. */
    enum Preference {
        /** Work that can wait leaves idle workers to urgent work. */
        HEADROOM,
        /** Work that would delay a large waiting unit leaves the workers that are reserved for that unit. */
        RESERVATION,
        /** The tasks of a gang share a rack, if an empty rack could hold them. */
        RACK,
        /** Workers on which runs have failed or stalled get no work for a while. */
        QUARANTINE
    }

    private final Map<WorkerState, Resources> free = new HashMap<>();
    private final Map<String, List<WorkerState>> racks = new TreeMap<>();
    private final List<WorkerState> usable = new ArrayList<>();

    /** The usable workers and those in quarantine. */
    private final List<WorkerState> reachable = new ArrayList<>();

    private final CellState state;
    private final long nowMs;
    private final Reservations reservations;

    /** Share of its reachable workers that is in quarantine, by service. */
    private final Map<String, Double> quarantineShares;

    /** Accelerators of all usable workers. */
    private double acceleratorCapacity;

    /** Accelerators of the usable workers that are free. */
    private double freeAccelerators;

    /** The usable workers, fastest first; empty until it is needed. */
    private List<WorkerState> fastestFirst = List.of();

    /** What was computed for the step of the unit that was last placed; the units of a step follow one another. */
    private Optional<StepPlacement> lastStep = Optional.empty();

    Placer(CellState state, long nowMs) {
        this.state = state;
        this.nowMs = nowMs;
        this.reservations = new Reservations(state, nowMs);
        this.quarantineShares = quarantineShares();
        for (WorkerState worker : state.workers.values()) {
            if (worker.registration == null) {
                continue;
            }
            free.put(worker, worker.free());
            if (worker.reachable(nowMs)) {
                reachable.add(worker);
            }
            if (usable(worker)) {
                usable.add(worker);
                acceleratorCapacity += worker.registration.capacity().accelerators();
                freeAccelerators += free.get(worker).accelerators();
                racks.computeIfAbsent(worker.registration.rack(), rack -> new ArrayList<>())
                        .add(worker);
            }
        }
    }

    private Map<String, Double> quarantineShares() {
        return state.workers.values().stream()
                .filter(worker -> worker.registration != null && worker.reachable(nowMs))
                .collect(Collectors.groupingBy(
                        worker -> worker.registration.service(),
                        Collectors.averagingDouble(worker -> worker.health.quarantined(nowMs) ? 1 : 0)));
    }

    private boolean usable(WorkerState worker) {
        boolean ignored = quarantineShares.getOrDefault(worker.registration.service(), 0.0) > MAX_QUARANTINE_SHARE;
        return ignored ? worker.reachable(nowMs) : worker.usable(nowMs);
    }

    Collection<List<WorkerState>> racks() {
        return racks.values();
    }

    List<WorkerState> usable() {
        return usable;
    }

    Resources free(WorkerState worker) {
        return free.get(worker);
    }

    /** Deducts resources that a claim takes from a worker's free capacity. */
    void deduct(WorkerState worker, Resources need) {
        lastStep.ifPresent(step -> step.lastChoice = Optional.empty());
        take(worker, need);
    }

    private void take(WorkerState worker, Resources need) {
        free.merge(worker, need, Resources::minus);
        if (usable(worker)) {
            freeAccelerators -= need.accelerators();
        }
    }

    /**
     * Returns the share of a service's capacity that runs hold, those of this pass included: the largest of the shares
     * of accelerators, processor time and memory; 1 without any listed worker. Workers that cannot be reached count
     * with their capacity only, since what they run is not known.
     */
    double shareInUse(String service) {
        List<WorkerState> listed = state.workers.values().stream()
                .filter(worker -> worker.listed && worker.registration.service().equals(service))
                .toList();
        return Stream.<ToIntFunction<Resources>>of(Resources::accelerators, Resources::cpuMillis, Resources::memoryMb)
                .mapToDouble(kind -> shareInUse(listed, kind))
                .max()
                .orElse(1);
    }

    private double shareInUse(List<WorkerState> listed, ToIntFunction<Resources> kind) {
        double capacity = listed.stream()
                .mapToDouble(worker -> kind.applyAsInt(worker.registration.capacity()))
                .sum();
        double used = listed.stream()
                .filter(worker -> worker.reachable(nowMs))
                .mapToDouble(worker -> kind.applyAsInt(worker.used))
                .sum();
        if (listed.isEmpty()) {
            return 1;
        }
        return capacity == 0 ? 0 : used / capacity;
    }

    /** Returns whether the workers that can be reached have free capacity for the unit twice, claimed or not. */
    boolean holdsTwice(SchedulingUnit unit) {
        Resources need = unit.spec().perTask();
        int limit = unit.spec().maxPerWorker();
        int left = 2 * unit.indexes().size();
        for (WorkerState worker : reachable) {
            Resources available = worker.free();
            int max = eligible(worker, unit) ? limit == 0 ? left : 2 * limit : 0;
            for (int i = 0; i < max && left > 0 && need.fitsIn(available); i++) {
                available = available.minus(need);
                left--;
            }
        }
        return left <= 0;
    }

    /** Places all tasks of the unit or none, and deducts their resources; returns one worker per task, or empty. */
    Optional<List<WorkerState>> place(SchedulingUnit unit) {
        return place(unit, Set.of());
    }

    /** Places all tasks of the unit or none, regardless of the preferences that are waived. */
    Optional<List<WorkerState>> place(SchedulingUnit unit, Set<Preference> waived) {
        Optional<List<WorkerState>> found = find(unit, waived);
        found.ifPresent(workers -> workers.forEach(worker -> {
            take(worker, unit.spec().perTask());
            reservations.started(
                    worker,
                    unit.spec().perTask(),
                    state.predictor.runMs(unit.job(), unit.spec(), worker, state.settings.remoteFactor()));
        }));
        return found;
    }

    /** Returns whether the unit could be placed with some preferences waived; takes nothing from the free capacity. */
    boolean fits(SchedulingUnit unit, Set<Preference> waived) {
        return find(unit, waived).isPresent();
    }

    private Optional<List<WorkerState>> find(SchedulingUnit unit, Set<Preference> waived) {
        StepPlacement step = stepPlacement(unit, waived);
        boolean anyRack = !unit.rackBound() || waived.contains(Preference.RACK);
        if (anyRack || racks.values().stream().noneMatch(rack -> fitsEmptyRack(rack, unit))) {
            return step.place(unit, worker -> true);
        }
        return racks.keySet().stream()
                .map(rack ->
                        step.place(unit, worker -> worker.registration.rack().equals(rack)))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(step::slowestRunMs));
    }

    private StepPlacement stepPlacement(SchedulingUnit unit, Set<Preference> waived) {
        StepPlacement step = lastStep.filter(
                        last -> last.job == unit.job() && last.step == unit.step() && last.waived.equals(waived))
                .orElseGet(() -> new StepPlacement(unit, waived));
        lastStep = Optional.of(step);
        return step;
    }

    /** Returns whether the unit would fit on the rack if nothing ran there. */
    private static boolean fitsEmptyRack(List<WorkerState> rack, SchedulingUnit unit) {
        Resources need = unit.spec().perTask();
        int tasks = 0;
        for (WorkerState worker : rack) {
            Resources left = worker.registration.capacity();
            while (eligible(worker, unit)
                    && need.fitsIn(left)
                    && tasks < unit.indexes().size()) {
                left = left.minus(need);
                tasks++;
            }
        }
        return tasks >= unit.indexes().size();
    }

    private double shareInUse() {
        return acceleratorCapacity == 0 ? 0 : 1 - freeAccelerators / acceleratorCapacity;
    }

    private List<WorkerState> fastestFirst() {
        if (fastestFirst.isEmpty()) {
            Map<WorkerState, Double> speeds = new HashMap<>();
            usable.forEach(worker -> speeds.put(worker, worker.health.speed()));
            fastestFirst = new ArrayList<>(usable);
            fastestFirst.sort(Comparator.comparing(speeds::get, Comparator.reverseOrder()));
        }
        return fastestFirst;
    }

    /** Placement of the units of one step: run times, and the limits on them that follow from the job's utility. */
    private final class StepPlacement {

        private final JobState job;
        private final int step;
        private final Set<Preference> waived;
        private final double referenceRunMs;
        private final Map<WorkerState, Double> runMs = new HashMap<>();

        /** The eligible workers, those in quarantine last, then those with the shortest run time first. */
        private final List<WorkerState> byRunMs = new ArrayList<>();

        private final boolean leavesHeadroom;

        /** Run time on the slowest acceptable worker if the best choice takes {@link #acceptableBestMs}. */
        private double longestAcceptableMs;

        private double acceptableBestMs = -1;

        /** Worker of the last single task; the best choice until it is full, as each task lowers its score. */
        private Optional<WorkerState> lastChoice = Optional.empty();

        private StepPlacement(SchedulingUnit unit, Set<Preference> waived) {
            this.job = unit.job();
            this.step = unit.step();
            this.waived = waived;
            this.referenceRunMs = state.predictor.referenceRunMs(job, unit.spec());
            double factor = state.predictor.correctionFactor(job);
            for (WorkerState worker : waived.contains(Preference.QUARANTINE) ? reachable : usable) {
                if (eligible(worker, unit)) {
                    runMs.put(
                            worker, state.predictor.runMs(unit.spec(), worker, state.settings.remoteFactor(), factor));
                    byRunMs.add(worker);
                }
            }
            byRunMs.sort(Comparator.<WorkerState, Double>comparing(runMs::get).thenComparing(worker -> worker.id));
            if (waived.contains(Preference.QUARANTINE)) {
                byRunMs.sort(Comparator.comparing(worker -> worker.health.quarantined(nowMs)));
            }
            this.leavesHeadroom = !unit.urgent() && mayWait();
        }

        /** Returns whether the job loses almost no utility if it waits rather than uses the headroom. */
        private boolean mayWait() {
            JobUtility.CompletionForecast forecast = forecast(referenceRunMs);
            double utility = state.utility.expected(job.submission(), forecast);
            double delayed = state.utility.expected(job.submission(), forecast.delayedBy(HEADROOM_DELAY_MS));
            return utility - delayed <= HEADROOM_MAX_LOSS * utility;
        }

        private JobUtility.CompletionForecast forecast(double stepRunMs) {
            return state.predictor.completionForecast(
                    job, step, nowMs - job.submission().acceptedAtMs(), stepRunMs);
        }

        private double utility(double stepRunMs) {
            return state.utility.expected(job.submission(), forecast(stepRunMs));
        }

        private double slowestRunMs(List<WorkerState> workers) {
            return workers.stream().mapToDouble(runMs::get).max().orElse(0);
        }

        /** Places a unit on workers that match a condition; returns one worker per task, or empty. */
        private Optional<List<WorkerState>> place(SchedulingUnit unit, Predicate<WorkerState> condition) {
            boolean single = unit.indexes().size() == 1 && !unit.lastAttempt();
            Optional<WorkerState> again = lastChoice.filter(worker -> single && startableTasks(worker, unit) > 0);
            if (again.isPresent()) {
                return again.map(List::of);
            }
            Optional<List<WorkerState>> chosen = placeAnew(unit, condition);
            lastChoice = single ? chosen.map(workers -> workers.get(0)) : Optional.empty();
            return chosen;
        }

        private Optional<List<WorkerState>> placeAnew(SchedulingUnit unit, Predicate<WorkerState> condition) {
            Set<WorkerState> headroom = headroom();
            Predicate<WorkerState> allowed = condition.and(worker -> !headroom.contains(worker));
            // Another failure fails the job, so workers whose last run succeeded are preferred.
            if (unit.lastAttempt()) {
                Optional<List<WorkerState>> workers = choose(unit, allowed.and(worker -> worker.health.proven()));
                if (workers.isPresent()) {
                    return workers;
                }
            }
            return choose(unit, allowed);
        }

        /** Returns the fastest idle workers, which the step leaves free for urgent work; empty if it need not. */
        private Set<WorkerState> headroom() {
            long count = Math.round(usable.size() * state.settings.headroomShare());
            if (count == 0
                    || !leavesHeadroom
                    || waived.contains(Preference.HEADROOM)
                    || shareInUse() < HEADROOM_MIN_USE) {
                return Set.of();
            }
            return fastestFirst().stream()
                    .filter(worker -> free.get(worker).accelerators()
                            == worker.registration.capacity().accelerators())
                    .limit(count)
                    .collect(Collectors.toSet());
        }

        /**
         * Chooses the slowest workers whose effect on the job's utility is negligible, so that fast ones stay free for
         * work that needs them. An urgent unit is only allowed workers that do not extend its run time beyond that of
         * the fastest choice; within a gang the slowest member determines the run time.
         */
        private Optional<List<WorkerState>> choose(SchedulingUnit unit, Predicate<WorkerState> allowed) {
            Resources need = unit.spec().perTask();
            Predicate<WorkerState> candidate = worker -> need.fitsIn(free.get(worker)) && allowed.test(worker);
            Optional<List<WorkerState>> fastest =
                    fill(unit, byRunMs.stream().filter(candidate).iterator());
            if (fastest.isEmpty() || waived.contains(Preference.QUARANTINE)) {
                return fastest;
            }
            double bestMs = slowestRunMs(fastest.get());
            double limitMs = unit.urgent() ? bestMs : longestAcceptableMs(bestMs);
            List<Scored> scored = byRunMs.stream()
                    .takeWhile(worker -> runMs.get(worker) <= limitMs)
                    .filter(candidate)
                    .map(worker -> new Scored(worker, score(worker, unit)))
                    .collect(Collectors.toCollection(ArrayList::new));
            // The head of a heap is enough for a single task.
            PriorityQueue<Scored> cheapestFirst = new PriorityQueue<>(scored);
            return fill(unit, new Iterator<>() {
                @Override
                public boolean hasNext() {
                    return !cheapestFirst.isEmpty();
                }

                @Override
                public WorkerState next() {
                    return cheapestFirst.remove().worker();
                }
            });
        }

        private double score(WorkerState worker, SchedulingUnit unit) {
            return leftover(worker, unit)
                    - SLOW_WEIGHT * Math.min(MAX_SLOWNESS, runMs.get(worker) / Math.max(1, referenceRunMs));
        }

        /**
         * Returns the longest run time of a worker with a negligible loss of utility against the best choice. Utility
         * never rises with the run time, so the first worker that loses too much ends the search.
         */
        private double longestAcceptableMs(double bestMs) {
            if (acceptableBestMs != bestMs) {
                acceptableBestMs = bestMs;
                double minUtility = utility(bestMs) * (1 - MAX_SLOW_LOSS);
                int from = 0;
                int to = byRunMs.size();
                while (from < to) {
                    int middle = (from + to) / 2;
                    double time = runMs.get(byRunMs.get(middle));
                    if (time <= bestMs || utility(time * SLOW_RUN_TIME_MARGIN) >= minUtility) {
                        from = middle + 1;
                    } else {
                        to = middle;
                    }
                }
                longestAcceptableMs = from == 0 ? bestMs : runMs.get(byRunMs.get(from - 1));
            }
            return longestAcceptableMs;
        }

        /** Fills workers in the given order until all tasks of the unit are placed; empty if they do not fit. */
        private Optional<List<WorkerState>> fill(SchedulingUnit unit, Iterator<WorkerState> workers) {
            int count = unit.indexes().size();
            List<WorkerState> chosen = new ArrayList<>(count);
            while (chosen.size() < count && workers.hasNext()) {
                WorkerState worker = workers.next();
                int max = Math.min(count - chosen.size(), startableTasks(worker, unit));
                for (int i = 0; i < max; i++) {
                    chosen.add(worker);
                }
            }
            return chosen.size() < count ? Optional.empty() : Optional.of(chosen);
        }

        /** Returns the number of the unit's tasks that may start on a worker now. */
        private int startableTasks(WorkerState worker, SchedulingUnit unit) {
            Resources need = unit.spec().perTask();
            int limit = unit.spec().maxPerWorker();
            int max = limit == 0 ? unit.indexes().size() : limit - runsOnWorker(worker, unit);
            Resources taken = need;
            int tasks = 0;
            while (tasks < max && taken.fitsIn(free.get(worker)) && mayStart(worker, taken)) {
                tasks++;
                taken = taken.plus(need);
            }
            return tasks;
        }

        private boolean mayStart(WorkerState worker, Resources taken) {
            return waived.contains(Preference.RESERVATION) || reservations.mayStart(worker, taken, runMs.get(worker));
        }
    }

    /** A worker with its score; of equal scores the lower id is chosen. */
    private record Scored(WorkerState worker, double score) implements Comparable<Scored> {

        @Override
        public int compareTo(Scored other) {
            int byScore = Double.compare(score, other.score);
            return byScore != 0 ? byScore : worker.id.compareTo(other.worker.id);
        }
    }

    /** Reserves workers for a unit that could not be placed; returns false if no unit of its shape can get any. */
    boolean reserve(SchedulingUnit unit) {
        return reservations.reserve(unit, usable, racks.values());
    }

    /** Returns whether a worker is eligible for the unit's tasks, regardless of its free capacity. */
    static boolean eligible(WorkerState worker, SchedulingUnit unit) {
        return eligible(worker, unit.job(), unit.spec());
    }

    /** Returns whether a worker may get work, is eligible for a step's tasks, and has room for all that it holds. */
    static boolean holds(WorkerState worker, JobState job, StepSpec step, long nowMs) {
        return worker.reachable(nowMs)
                && eligible(worker, job, step)
                && worker.used.fitsIn(worker.registration.capacity());
    }

    private static boolean eligible(WorkerState worker, JobState job, StepSpec step) {
        return worker.registration.service().equals(job.submission().service())
                && step.requiredLabel()
                        .map(worker.registration.labels()::contains)
                        .orElse(true)
                && step.perTask().fitsIn(worker.registration.capacity());
    }

    /** Returns the number of runs of the unit's step that hold capacity of a worker. */
    static int runsOnWorker(WorkerState worker, SchedulingUnit unit) {
        int count = 0;
        for (ActiveRun run : worker.runs.values()) {
            if (run.job == unit.job() && run.id.task().step() == unit.step()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the weighted share of a worker's accelerators that stays free beside one task of the unit. */
    private double leftover(WorkerState worker, SchedulingUnit unit) {
        double capacity = worker.registration.capacity().accelerators();
        double after = free.get(worker).accelerators() - unit.spec().perTask().accelerators();
        return capacity == 0 ? 0 : LEFTOVER_WEIGHT * after / capacity;
    }
}
