package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;

/**
 * Reservations for large waiting units, with backfilling: the workers that are predicted to have capacity first are
 * reserved for the unit, and other work starts there only if it ends before the reservation or fits beside it. Not
 * thread-safe; used for one pass.
 */
final class Reservations {

    /** Maximum number of units with a reservation; more gained nothing in the offline day model. */
    private static final int MOST_UNITS = 1;

    /** Minimum predicted time in ms until a run ends; an overdue run still holds its capacity. */
    private static final double LEAST_LEFT_MS = 300;

    /** Time ahead in ms beyond which nothing is reserved, since predictions are too inaccurate. */
    private static final double HORIZON_MS = 8000;

    private final CellState state;
    private final long nowMs;
    private final Map<WorkerState, Hold> holds = new HashMap<>();
    private int units;

    Reservations(CellState state, long nowMs) {
        this.state = state;
        this.nowMs = nowMs;
    }

    /** Reserved resources of a worker, and the resources predicted to be free when the reservation starts. */
    private static final class Hold {
        private double atMs;
        private Resources kept = Resources.NONE;
        private Resources freeThen;
    }

    /** Capacity for one task on a worker, available in a given time from now. */
    private record Slot(WorkerState worker, double inMs) {}

    /** Returns whether a task may start on a worker without delaying a reservation there. */
    boolean allows(WorkerState worker, Resources need, double runMs) {
        Hold hold = holds.get(worker);
        return hold == null || runMs <= hold.atMs || need.plus(hold.kept).fitsIn(hold.freeThen);
    }

    /** Records the start of a task on a worker. */
    void started(WorkerState worker, Resources need, double runMs) {
        Hold hold = holds.get(worker);
        if (hold != null && runMs > hold.atMs) {
            hold.freeThen = hold.freeThen.minus(need);
        }
    }

    /** Reserves the workers that are predicted to have capacity for the unit first; no effect for small units. */
    void reserve(Unit unit, List<WorkerState> workers, Collection<List<WorkerState>> racks) {
        if (units >= MOST_UNITS || !unit.large(state.largestWorker())) {
            return;
        }
        Optional<List<Slot>> slots = unit.rackBound()
                ? racks.stream()
                        .map(rack -> slots(unit, rack))
                        .flatMap(Optional::stream)
                        .min(Comparator.comparingDouble(Reservations::lastMs))
                : slots(unit, workers);
        if (slots.isEmpty() || lastMs(slots.get()) > HORIZON_MS) {
            return;
        }
        units++;
        double atMs = lastMs(slots.get());
        for (Slot slot : slots.get()) {
            Hold hold = holds.computeIfAbsent(slot.worker(), worker -> new Hold());
            hold.atMs = Math.max(hold.atMs, atMs);
            hold.kept = hold.kept.plus(unit.spec().perTask());
            hold.freeThen = freeIn(slot.worker(), hold.atMs);
        }
    }

    private static double lastMs(List<Slot> slots) {
        return slots.stream().mapToDouble(Slot::inMs).max().orElse(0);
    }

    private Optional<List<Slot>> slots(Unit unit, List<WorkerState> workers) {
        List<Slot> slots = new ArrayList<>();
        for (WorkerState worker : workers) {
            if (Placer.allows(worker, unit)) {
                addSlots(unit, worker, slots);
            }
        }
        if (slots.size() < unit.indexes().size()) {
            return Optional.empty();
        }
        slots.sort(Comparator.comparingDouble(Slot::inMs));
        return Optional.of(slots.subList(0, unit.indexes().size()));
    }

    private void addSlots(Unit unit, WorkerState worker, List<Slot> slots) {
        Resources need = unit.spec().perTask();
        Hold hold = holds.get(worker);
        Resources room = hold == null ? worker.free() : worker.free().minus(hold.kept);
        List<ActiveRun> runs = new ArrayList<>(worker.runs.values());
        runs.sort(Comparator.comparingDouble(this::leftMs));
        int found = 0;
        double inMs = 0;
        for (int next = 0; next <= runs.size() && found < unit.indexes().size(); next++) {
            while (need.fitsIn(room) && found < unit.indexes().size()) {
                slots.add(new Slot(worker, inMs));
                room = room.minus(need);
                found++;
            }
            if (next < runs.size()) {
                room = room.plus(runs.get(next).need);
                inMs = leftMs(runs.get(next));
            }
        }
    }

    private Resources freeIn(WorkerState worker, double inMs) {
        Resources free = worker.free();
        for (ActiveRun run : worker.runs.values()) {
            if (leftMs(run) <= inMs) {
                free = free.plus(run.need);
            }
        }
        return free;
    }

    private double leftMs(ActiveRun run) {
        double leftMs =
                run.stopping ? LEAST_LEFT_MS : state.forecast.remainingMs(run, state.settings.remoteFactor(), nowMs);
        return Math.max(LEAST_LEFT_MS, leftMs);
    }
}
