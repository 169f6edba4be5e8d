package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;

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

    private final Map<WorkerState, Resources> free = new HashMap<>();
    private final Map<String, List<WorkerState>> racks = new TreeMap<>();
    private final List<WorkerState> usable = new ArrayList<>();
    private final CellState state;
    private final long nowMs;
    private final Reservations reservations;

    Placer(CellState state, long nowMs) {
        this.state = state;
        this.nowMs = nowMs;
        this.reservations = new Reservations(state, nowMs);
        for (WorkerState worker : state.workers.values()) {
            if (worker.registration == null) {
                continue;
            }
            free.put(worker, worker.free());
            if (worker.usable(nowMs)) {
                usable.add(worker);
                racks.computeIfAbsent(worker.registration.rack(), rack -> new ArrayList<>())
                        .add(worker);
            }
        }
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

    void deduct(WorkerState worker, Resources need) {
        free.merge(worker, need, Resources::minus);
    }

    /** Places all tasks of the unit or none, and deducts their resources; returns one worker per task, or empty. */
    Optional<List<WorkerState>> place(SchedulingUnit unit) {
        Optional<List<WorkerState>> found = find(unit);
        found.ifPresent(workers -> workers.forEach(worker -> {
            deduct(worker, unit.spec().perTask());
            reservations.started(worker, unit.spec().perTask(), runMs(unit, worker));
        }));
        return found;
    }

    private Optional<List<WorkerState>> find(SchedulingUnit unit) {
        if (!unit.rackBound() || racks.values().stream().noneMatch(rack -> fitsEmptyRack(rack, unit))) {
            return placeOn(unit, usable);
        }
        return racks.values().stream()
                .map(rack -> placeOn(unit, rack))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(workers -> workers.stream()
                        .mapToDouble(worker -> runMs(unit, worker))
                        .max()
                        .orElse(0)));
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

    private Optional<List<WorkerState>> placeOn(SchedulingUnit unit, List<WorkerState> candidates) {
        Set<WorkerState> headroom = headroom(unit);
        List<WorkerState> eligible = candidates.stream()
                .filter(worker -> eligible(worker, unit) && !headroom.contains(worker))
                .toList();
        // Another failure fails the job, so workers whose last run succeeded are preferred.
        if (unit.lastAttempt()) {
            List<WorkerState> proven =
                    eligible.stream().filter(worker -> worker.health.proven()).toList();
            Optional<List<WorkerState>> workers = choose(unit, proven);
            if (workers.isPresent()) {
                return workers;
            }
        }
        return choose(unit, eligible);
    }

    /** Returns the fastest idle workers, which the unit leaves free for urgent work; empty if it need not leave any. */
    private Set<WorkerState> headroom(SchedulingUnit unit) {
        long count = Math.round(usable.size() * state.settings.headroomShare());
        if (count == 0 || unit.urgent() || shareInUse() < HEADROOM_MIN_USE) {
            return Set.of();
        }
        JobUtility.CompletionForecast forecast =
                completionForecast(unit, state.predictor.referenceRunMs(unit.job(), unit.spec()));
        Submission job = unit.job().submission();
        double utility = state.utility.expected(job, forecast);
        if (utility - state.utility.expected(job, forecast.delayedBy(HEADROOM_DELAY_MS))
                > HEADROOM_MAX_LOSS * utility) {
            return Set.of();
        }
        return usable.stream()
                .filter(worker -> free.get(worker).accelerators()
                        == worker.registration.capacity().accelerators())
                .sorted(Comparator.comparingDouble(worker -> -worker.health.speed()))
                .limit(count)
                .collect(Collectors.toSet());
    }

    private double shareInUse() {
        double capacity = 0;
        double unused = 0;
        for (WorkerState worker : usable) {
            capacity += worker.registration.capacity().accelerators();
            unused += free.get(worker).accelerators();
        }
        return capacity == 0 ? 0 : 1 - unused / capacity;
    }

    /**
     * Chooses the slowest workers whose effect on the job's utility is negligible, so that fast ones stay free for work
     * that needs them. An urgent unit is only allowed workers that do not extend its run time beyond that of the
     * fastest choice; within a gang the slowest member determines the run time.
     */
    private Optional<List<WorkerState>> choose(SchedulingUnit unit, List<WorkerState> candidates) {
        Map<WorkerState, Double> runMs = new HashMap<>();
        candidates.forEach(worker -> runMs.put(worker, runMs(unit, worker)));
        Optional<List<WorkerState>> fastest = fillInOrder(unit, candidates, Comparator.comparing(runMs::get));
        if (fastest.isEmpty()) {
            return fastest;
        }
        double bestMs = fastest.get().stream().mapToDouble(runMs::get).max().orElse(0);
        double longestAcceptableMs = unit.urgent() ? bestMs : longestAcceptableMs(unit, runMs.values(), bestMs);
        List<WorkerState> allowed = candidates.stream()
                .filter(worker -> runMs.get(worker) <= longestAcceptableMs)
                .toList();
        double referenceRunMs = Math.max(1, state.predictor.referenceRunMs(unit.job(), unit.spec()));
        return fillInOrder(
                unit,
                allowed,
                Comparator.comparingDouble(worker -> leftover(worker, unit)
                        - SLOW_WEIGHT * Math.min(MAX_SLOWNESS, runMs.get(worker) / referenceRunMs)));
    }

    /** Returns the longest candidate run time with a negligible loss of utility against the best one. */
    private double longestAcceptableMs(SchedulingUnit unit, Collection<Double> runMs, double bestMs) {
        double minUtility = utility(unit, bestMs) * (1 - MAX_SLOW_LOSS);
        return runMs.stream()
                .filter(time -> time <= bestMs || utility(unit, time * SLOW_RUN_TIME_MARGIN) >= minUtility)
                .mapToDouble(time -> time)
                .max()
                .orElse(bestMs);
    }

    /** Fills workers in the given order until all tasks of the unit are placed; empty if they do not fit. */
    private Optional<List<WorkerState>> fillInOrder(
            SchedulingUnit unit, List<WorkerState> candidates, Comparator<WorkerState> order) {
        Resources need = unit.spec().perTask();
        List<WorkerState> sorted = candidates.stream()
                .filter(worker -> need.fitsIn(free.get(worker)))
                .sorted(order.thenComparing(worker -> worker.id))
                .toList();
        List<WorkerState> chosen = new ArrayList<>();
        for (WorkerState worker : sorted) {
            int max = Math.min(unit.indexes().size() - chosen.size(), startableTasks(worker, unit));
            for (int i = 0; i < max; i++) {
                chosen.add(worker);
            }
        }
        return chosen.size() < unit.indexes().size() ? Optional.empty() : Optional.of(chosen);
    }

    /** Returns the number of the unit's tasks that may start on a worker now. */
    private int startableTasks(WorkerState worker, SchedulingUnit unit) {
        Resources need = unit.spec().perTask();
        int limit = unit.spec().maxPerWorker();
        int max = limit == 0 ? unit.indexes().size() : limit - runsOnWorker(worker, unit);
        double runMs = runMs(unit, worker);
        Resources taken = need;
        int tasks = 0;
        while (tasks < max && taken.fitsIn(free.get(worker)) && reservations.mayStart(worker, taken, runMs)) {
            tasks++;
            taken = taken.plus(need);
        }
        return tasks;
    }

    private double runMs(SchedulingUnit unit, WorkerState worker) {
        return state.predictor.runMs(unit.job(), unit.spec(), worker, state.settings.remoteFactor());
    }

    private JobUtility.CompletionForecast completionForecast(SchedulingUnit unit, double runMs) {
        return state.predictor.completionForecast(
                unit.job(), unit.step(), nowMs - unit.job().submission().acceptedAtMs(), runMs);
    }

    private double utility(SchedulingUnit unit, double runMs) {
        return state.utility.expected(unit.job().submission(), completionForecast(unit, runMs));
    }

    /** Reserves workers for a unit that could not be placed. */
    void reserve(SchedulingUnit unit) {
        reservations.reserve(unit, usable, racks.values());
    }

    /** Returns whether a worker is eligible for the unit's tasks, regardless of its free capacity. */
    static boolean eligible(WorkerState worker, SchedulingUnit unit) {
        StepSpec step = unit.spec();
        return worker.registration.service().equals(unit.job().submission().service())
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
