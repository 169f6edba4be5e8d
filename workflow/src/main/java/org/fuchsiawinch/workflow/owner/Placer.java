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

    /** Weight of leftover accelerators in a worker's score, so that workers of equal speed are packed one by one. */
    private static final double LEFTOVER_WEIGHT = 0.3;

    /** Weight of a worker's slowness in its score, against its leftover accelerators. */
    private static final double SLOW_WEIGHT = 0.3;

    /** Maximum of the slowness in the score, as a multiple of the expected run time. */
    private static final double SLOWEST = 2;

    /** Share of a job's utility that may be lost to a slower worker, in order to keep faster ones for other work. */
    private static final double SPEED_LOSS = 0.03;

    /** Safety factor on the run time on a slower worker, since speeds are estimates. */
    private static final double SPEED_MARGIN = 1.25;

    /** Share of all accelerators in use below which no headroom is kept, since enough are free anyway. */
    private static final double HEADROOM_USE = 0.5;

    /** Delay in ms whose cost decides whether a unit leaves the headroom free. */
    private static final double HEADROOM_DELAY_MS = 2000;

    /** Share of a job's utility that this delay may cost. */
    private static final double HEADROOM_LOSS = 0.05;

    private final Map<WorkerState, Resources> room = new HashMap<>();
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
            room.put(worker, worker.free());
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

    Resources room(WorkerState worker) {
        return room.get(worker);
    }

    void take(WorkerState worker, Resources need) {
        room.merge(worker, need, Resources::minus);
    }

    /** Places all tasks of the unit or none, and deducts their resources; returns one worker per task, or empty. */
    Optional<List<WorkerState>> place(Unit unit) {
        Optional<List<WorkerState>> found = find(unit);
        found.ifPresent(workers -> workers.forEach(worker -> {
            take(worker, unit.spec().perTask());
            reservations.started(worker, unit.spec().perTask(), runMs(unit, worker));
        }));
        return found;
    }

    private Optional<List<WorkerState>> find(Unit unit) {
        if (!unit.rackBound() || racks.values().stream().noneMatch(rack -> couldHold(rack, unit))) {
            return fill(unit, usable);
        }
        return racks.values().stream()
                .map(rack -> fill(unit, rack))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(workers -> workers.stream()
                        .mapToDouble(worker -> runMs(unit, worker))
                        .max()
                        .orElse(0)));
    }

    /** Returns whether the unit would fit on an empty rack. */
    private static boolean couldHold(List<WorkerState> rack, Unit unit) {
        Resources need = unit.spec().perTask();
        int room = 0;
        for (WorkerState worker : rack) {
            Resources left = worker.registration.capacity();
            while (allows(worker, unit)
                    && need.fitsIn(left)
                    && room < unit.indexes().size()) {
                left = left.minus(need);
                room++;
            }
        }
        return room >= unit.indexes().size();
    }

    private Optional<List<WorkerState>> fill(Unit unit, List<WorkerState> candidates) {
        Set<WorkerState> kept = headroom(unit);
        List<WorkerState> open = candidates.stream()
                .filter(worker -> allows(worker, unit) && !kept.contains(worker))
                .toList();
        if (unit.lastAttempt()) {
            List<WorkerState> proven =
                    open.stream().filter(worker -> worker.health.proven()).toList();
            Optional<List<WorkerState>> workers = choose(unit, proven);
            if (workers.isPresent()) {
                return workers;
            }
        }
        return choose(unit, open);
    }

    /** Returns the fastest idle workers, which the unit leaves free for urgent work; empty if it need not leave any. */
    private Set<WorkerState> headroom(Unit unit) {
        long count = Math.round(usable.size() * state.settings.headroomShare());
        if (count == 0 || unit.urgent() || shareInUse() < HEADROOM_USE) {
            return Set.of();
        }
        JobWorth.Prospect prospect = prospect(unit, state.forecast.meanMs(unit.job(), unit.spec()));
        Submission job = unit.job().submission();
        double worth = state.worth.expected(job, prospect);
        if (worth - state.worth.expected(job, prospect.later(HEADROOM_DELAY_MS)) > HEADROOM_LOSS * worth) {
            return Set.of();
        }
        return usable.stream()
                .filter(worker -> room.get(worker).accelerators()
                        == worker.registration.capacity().accelerators())
                .sorted(Comparator.comparingDouble(worker -> -worker.health.speed()))
                .limit(count)
                .collect(Collectors.toSet());
    }

    private double shareInUse() {
        double capacity = 0;
        double free = 0;
        for (WorkerState worker : usable) {
            capacity += worker.registration.capacity().accelerators();
            free += room.get(worker).accelerators();
        }
        return capacity == 0 ? 0 : 1 - free / capacity;
    }

    /**
     * Chooses the slowest workers whose effect on the job's utility is negligible, so that fast ones stay free for work
     * that needs them. An urgent unit is only allowed workers that do not extend its run time beyond that of the
     * fastest choice; within a gang the slowest member determines the run time.
     */
    private Optional<List<WorkerState>> choose(Unit unit, List<WorkerState> open) {
        Map<WorkerState, Double> runMs = new HashMap<>();
        open.forEach(worker -> runMs.put(worker, runMs(unit, worker)));
        Optional<List<WorkerState>> fastest = take(unit, open, Comparator.comparing(runMs::get));
        if (fastest.isEmpty()) {
            return fastest;
        }
        double bestMs = fastest.get().stream().mapToDouble(runMs::get).max().orElse(0);
        double longestMs = unit.urgent() ? bestMs : longestMs(unit, runMs.values(), bestMs);
        List<WorkerState> allowed =
                open.stream().filter(worker -> runMs.get(worker) <= longestMs).toList();
        double meanMs = Math.max(1, state.forecast.meanMs(unit.job(), unit.spec()));
        return take(
                unit,
                allowed,
                Comparator.comparingDouble(worker ->
                        leftover(worker, unit) - SLOW_WEIGHT * Math.min(SLOWEST, runMs.get(worker) / meanMs)));
    }

    /** Returns the longest candidate run time with a negligible loss of utility against the best one. */
    private double longestMs(Unit unit, Collection<Double> runMs, double bestMs) {
        double least = worth(unit, bestMs) * (1 - SPEED_LOSS);
        return runMs.stream()
                .filter(time -> time <= bestMs || worth(unit, time * SPEED_MARGIN) >= least)
                .mapToDouble(time -> time)
                .max()
                .orElse(bestMs);
    }

    /** Fills workers in the given order until all tasks of the unit are placed; empty if they do not fit. */
    private Optional<List<WorkerState>> take(Unit unit, List<WorkerState> open, Comparator<WorkerState> order) {
        Resources need = unit.spec().perTask();
        List<WorkerState> sorted = open.stream()
                .filter(worker -> need.fitsIn(room.get(worker)))
                .sorted(order.thenComparing(worker -> worker.id))
                .toList();
        List<WorkerState> chosen = new ArrayList<>();
        for (WorkerState worker : sorted) {
            int most = Math.min(unit.indexes().size() - chosen.size(), placesOn(worker, unit));
            for (int place = 0; place < most; place++) {
                chosen.add(worker);
            }
        }
        return chosen.size() < unit.indexes().size() ? Optional.empty() : Optional.of(chosen);
    }

    /** Returns the number of the unit's tasks that may start on a worker now. */
    private int placesOn(WorkerState worker, Unit unit) {
        Resources need = unit.spec().perTask();
        int limit = unit.spec().maxPerWorker();
        int most = limit == 0 ? unit.indexes().size() : limit - onWorker(worker, unit);
        double runMs = runMs(unit, worker);
        Resources taken = need;
        int places = 0;
        while (places < most && taken.fitsIn(room.get(worker)) && reservations.allows(worker, taken, runMs)) {
            places++;
            taken = taken.plus(need);
        }
        return places;
    }

    private double runMs(Unit unit, WorkerState worker) {
        return state.forecast.runMs(unit.job(), unit.spec(), worker, state.settings.remoteFactor());
    }

    private JobWorth.Prospect prospect(Unit unit, double runMs) {
        return state.forecast.prospect(
                unit.job(), unit.step(), nowMs - unit.job().submission().acceptedAtMs(), runMs);
    }

    private double worth(Unit unit, double runMs) {
        return state.worth.expected(unit.job().submission(), prospect(unit, runMs));
    }

    /** Reserves workers for a unit that could not be placed. */
    void reserve(Unit unit) {
        reservations.reserve(unit, usable, racks.values());
    }

    /** Returns whether a worker is eligible for the unit's tasks, regardless of its free capacity. */
    static boolean allows(WorkerState worker, Unit unit) {
        StepSpec step = unit.spec();
        return worker.registration.service().equals(unit.job().submission().service())
                && step.requiredLabel()
                        .map(worker.registration.labels()::contains)
                        .orElse(true)
                && step.perTask().fitsIn(worker.registration.capacity());
    }

    static int onWorker(WorkerState worker, Unit unit) {
        int count = 0;
        for (ActiveRun run : worker.runs.values()) {
            if (run.job == unit.job() && run.run.task().step() == unit.step()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the weighted share of a worker's accelerators that stays free beside one task of the unit. */
    private double leftover(WorkerState worker, Unit unit) {
        double capacity = worker.registration.capacity().accelerators();
        double after = room.get(worker).accelerators() - unit.spec().perTask().accelerators();
        return capacity == 0 ? 0 : LEFTOVER_WEIGHT * after / capacity;
    }
}
