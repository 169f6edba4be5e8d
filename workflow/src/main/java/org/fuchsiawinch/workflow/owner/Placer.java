package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

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

    /** Share of the objective up to which work may take a slow worker; the rest is kept for a second run. */
    private static final double RELAXED_SHARE = 0.65;

    /** Cost of the slowest worker for work that is not urgent; keeps the costs of both kinds comparable. */
    private static final double RELAXED_WEIGHT = 0.3;

    private final Map<WorkerState, Resources> room = new HashMap<>();
    private final Map<String, List<WorkerState>> racks = new TreeMap<>();
    private final List<WorkerState> usable = new ArrayList<>();
    private final CellState state;
    private final long nowMs;

    Placer(CellState state, long nowMs) {
        this.state = state;
        this.nowMs = nowMs;
        for (WorkerState worker : state.workers.values()) {
            if (worker.entry == null) {
                continue;
            }
            room.put(worker, worker.free());
            if (worker.usable(nowMs)) {
                usable.add(worker);
                racks.computeIfAbsent(worker.entry.rack(), rack -> new ArrayList<>())
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
        found.ifPresent(
                workers -> workers.forEach(worker -> take(worker, unit.spec().perTask())));
        return found;
    }

    private Optional<List<WorkerState>> find(Unit unit) {
        StepSpec step = unit.spec();
        if (!unit.rackBound() || racks.values().stream().noneMatch(rack -> couldHold(rack, unit))) {
            return fill(unit, usable);
        }
        Optional<List<WorkerState>> best = Optional.empty();
        double bestCost = Double.MAX_VALUE;
        for (List<WorkerState> rack : racks.values()) {
            Optional<List<WorkerState>> workers = fill(unit, rack);
            if (workers.isPresent()) {
                double cost = workers.get().stream()
                        .mapToDouble(worker -> cost(worker, unit))
                        .max()
                        .orElse(0);
                if (cost < bestCost) {
                    bestCost = cost;
                    best = workers;
                }
            }
        }
        return best;
    }

    /** Says whether an empty rack would hold the unit. */
    private static boolean couldHold(List<WorkerState> rack, Unit unit) {
        Resources need = unit.spec().perTask();
        int room = 0;
        for (WorkerState worker : rack) {
            Resources left = worker.entry.capacity();
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
        StepSpec step = unit.spec();
        Predicate<WorkerState> allowed = worker -> allows(worker, unit);
        List<WorkerState> open = candidates.stream().filter(allowed).toList();
        if (unit.lastAttempt()) {
            List<WorkerState> proven =
                    open.stream().filter(worker -> worker.health.proven()).toList();
            Optional<List<WorkerState>> workers = choose(unit, step, proven);
            if (workers.isPresent()) {
                return workers;
            }
        }
        return choose(unit, step, open);
    }

    private Optional<List<WorkerState>> choose(Unit unit, StepSpec step, List<WorkerState> open) {
        List<WorkerState> chosen = new ArrayList<>();
        Map<WorkerState, Resources> left = new HashMap<>();
        Map<WorkerState, Integer> placed = new HashMap<>();
        for (int i = 0; i < unit.indexes().size(); i++) {
            Optional<WorkerState> next = open.stream()
                    .filter(worker -> step.perTask().fitsIn(left.getOrDefault(worker, room.get(worker))))
                    .filter(worker -> step.maxPerWorker() == 0
                            || onWorker(worker, unit) + placed.getOrDefault(worker, 0) < step.maxPerWorker())
                    .min(Comparator.comparingDouble(
                                    (WorkerState worker) -> cost(worker, unit) + leftover(worker, step, left))
                            .thenComparing(worker -> worker.id));
            if (next.isEmpty()) {
                return Optional.empty();
            }
            chosen.add(next.get());
            placed.merge(next.get(), 1, Integer::sum);
            left.put(
                    next.get(),
                    left.getOrDefault(next.get(), room.get(next.get())).minus(step.perTask()));
        }
        return Optional.of(chosen);
    }

    /** Says whether a worker may run the unit's tasks, whatever its room. */
    static boolean allows(WorkerState worker, Unit unit) {
        StepSpec step = unit.spec();
        return worker.entry.service().equals(unit.job().submission().service())
                && step.requiredLabel().map(worker.entry.labels()::contains).orElse(true)
                && step.perTask().fitsIn(worker.entry.capacity());
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

    /**
     * Urgent work goes to the fastest workers. Other work leaves these free as long as it is in time on a slow one.
     */
    private double cost(WorkerState worker, Unit unit) {
        double runMs = state.forecast.runMs(unit.job(), unit.spec(), worker, state.settings.remoteFactor());
        double relative = runMs / Math.max(1, unit.spec().estimatedMs());
        if (unit.job().submission().rules().priority() == 0 || share(unit, runMs) > RELAXED_SHARE) {
            return relative;
        }
        return RELAXED_WEIGHT / Math.max(RELAXED_WEIGHT, relative);
    }

    /** Gives the share of the job's objective that is used up when a run of this length and all after it end. */
    double share(Unit unit, double runMs) {
        Submission job = unit.job().submission();
        double laterMs = job.chainAfterMs(unit.step()) * state.forecast.correction(unit.job());
        return (nowMs - job.acceptedAtMs() + runMs + laterMs) / Math.max(1, JobWorth.objectiveMs(job));
    }

    private double leftover(WorkerState worker, StepSpec step, Map<WorkerState, Resources> left) {
        Resources capacity = worker.entry.capacity();
        if (capacity.accelerators() == 0) {
            return 0;
        }
        Resources free = left.getOrDefault(worker, room.get(worker));
        double after = free.accelerators() - step.perTask().accelerators();
        return LEFTOVER_WEIGHT * after / capacity.accelerators();
    }
}
