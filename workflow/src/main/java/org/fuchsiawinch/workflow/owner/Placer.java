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
 * Finds workers for units in one pass. A placement counts at once against the room that is left for the next one. Not
 * thread-safe; made for one pass.
 */
final class Placer {

    /** Weight of accelerators left over on a worker against its slowness: alike workers are filled one by one. */
    private static final double LEFTOVER_WEIGHT = 0.3;

    /** Weight of a worker's slowness against accelerators left over on it. */
    private static final double SLOW_WEIGHT = 0.3;

    /** Times the expected run time beyond which a worker's slowness counts no more. */
    private static final double SLOWEST = 2;

    /** Share of a job's worth that may be lost to a slower worker, so that a faster one is left for other work. */
    private static final double SPEED_LOSS = 0.03;

    /** Safety factor on run times when a slower worker is weighed, as speeds are estimates. */
    private static final double SPEED_MARGIN = 1.25;

    /** Share of all accelerators in use below which no headroom is kept, as there is room anyway. */
    private static final double HEADROOM_USE = 0.5;

    /** Delay in ms whose cost decides whether work may wait for the sake of headroom. */
    private static final double HEADROOM_DELAY_MS = 2000;

    /** Share of a job's worth that such a delay may cost. */
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

    /** Finds a worker for each task of the unit, or none for any; takes their room. */
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

    /** Says whether an empty rack would hold the unit. */
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

    /** Gives the empty workers that the unit leaves for urgent work: the fastest, if it can well wait. */
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
     * Takes the slowest workers that cost the job next to nothing, so that fast ones are left for those in need. Urgent
     * work takes the fastest; its gang needs no member to be faster than the slowest.
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

    /** Gives the longest run time that costs the job next to nothing against the best one. */
    private double longestMs(Unit unit, Collection<Double> runMs, double bestMs) {
        double least = worth(unit, bestMs) * (1 - SPEED_LOSS);
        return runMs.stream()
                .filter(time -> time <= bestMs || worth(unit, time * SPEED_MARGIN) >= least)
                .mapToDouble(time -> time)
                .max()
                .orElse(bestMs);
    }

    /** Fills workers in an order until the unit has room for all its tasks. */
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

    /** Gives the number of the unit's tasks that may start on a worker now. */
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

    /** Holds workers for a unit that has found no room. */
    void reserve(Unit unit) {
        reservations.reserve(unit, usable, racks.values());
    }

    /** Says whether a worker may run the unit's tasks, whatever its room. */
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

    /** Gives the share of a worker's accelerators that is left over beside a task, by its weight. */
    private double leftover(WorkerState worker, Unit unit) {
        double capacity = worker.registration.capacity().accelerators();
        double after = room.get(worker).accelerators() - unit.spec().perTask().accelerators();
        return capacity == 0 ? 0 : LEFTOVER_WEIGHT * after / capacity;
    }
}
