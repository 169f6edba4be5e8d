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

    /** Maximum number of units with a reservation; further ones hold back other work without raising utility. */
    private static final int MAX_UNITS = 1;

    /** Minimum predicted time in ms until a run ends; an overdue run still holds its capacity. */
    private static final double MIN_REMAINING_MS = 300;

    /** Time ahead in ms beyond which nothing is reserved, since predictions are too inaccurate. */
    private static final double HORIZON_MS = 8000;

    private final CellState state;
    private final long nowMs;
    private final int largestWorkerAccelerators;
    private final Map<WorkerState, Reservation> reservations = new HashMap<>();
    private int reservedUnits;

    Reservations(CellState state, long nowMs) {
        this.state = state;
        this.nowMs = nowMs;
        this.largestWorkerAccelerators = state.largestWorkerAccelerators();
    }

    /** Reserved resources of a worker, and the resources predicted to be free when the reservation starts. */
    private static final class Reservation {
        private double startInMs;
        private Resources reserved = Resources.NONE;
        private Resources freeAtStart;
    }

    /** Capacity for one task on a worker, and the predicted time in ms from now until it is available. */
    private record TaskCapacity(WorkerState worker, double availableInMs) {}

    /** Returns whether tasks of this total need and run time may start on a worker without delaying a reservation. */
    boolean mayStart(WorkerState worker, Resources need, double runMs) {
        Reservation reservation = reservations.get(worker);
        return reservation == null
                || runMs <= reservation.startInMs
                || need.plus(reservation.reserved).fitsIn(reservation.freeAtStart);
    }

    /** Deducts a started task from the resources free at a reservation's start, if the task ends after that start. */
    void started(WorkerState worker, Resources need, double runMs) {
        Reservation reservation = reservations.get(worker);
        if (reservation != null && runMs > reservation.startInMs) {
            reservation.freeAtStart = reservation.freeAtStart.minus(need);
        }
    }

    /**
     * Reserves the workers that are predicted to have capacity for the unit first; no effect for small units.
     *
     * @return whether workers were reserved
     */
    boolean reserve(SchedulingUnit unit, List<WorkerState> workers, Collection<List<WorkerState>> racks) {
        if (reservedUnits >= MAX_UNITS || !unit.large(largestWorkerAccelerators)) {
            return false;
        }
        Optional<List<TaskCapacity>> capacity = unit.rackBound()
                ? racks.stream()
                        .map(rack -> earliestCapacity(unit, rack))
                        .flatMap(Optional::stream)
                        .min(Comparator.comparingDouble(Reservations::lastAvailableMs))
                : earliestCapacity(unit, workers);
        if (capacity.isEmpty() || lastAvailableMs(capacity.get()) > HORIZON_MS) {
            return false;
        }
        reservedUnits++;
        double startInMs = lastAvailableMs(capacity.get());
        for (TaskCapacity taskCapacity : capacity.get()) {
            Reservation reservation = reservations.computeIfAbsent(taskCapacity.worker(), worker -> new Reservation());
            reservation.startInMs = Math.max(reservation.startInMs, startInMs);
            reservation.reserved = reservation.reserved.plus(unit.spec().perTask());
            reservation.freeAtStart = predictedFree(taskCapacity.worker(), reservation.startInMs);
        }
        return true;
    }

    private static double lastAvailableMs(List<TaskCapacity> capacity) {
        return capacity.stream().mapToDouble(TaskCapacity::availableInMs).max().orElse(0);
    }

    private Optional<List<TaskCapacity>> earliestCapacity(SchedulingUnit unit, List<WorkerState> workers) {
        List<TaskCapacity> capacity = new ArrayList<>();
        for (WorkerState worker : workers) {
            if (Placer.eligible(worker, unit)) {
                addCapacity(unit, worker, capacity);
            }
        }
        if (capacity.size() < unit.indexes().size()) {
            return Optional.empty();
        }
        capacity.sort(Comparator.comparingDouble(TaskCapacity::availableInMs));
        return Optional.of(capacity.subList(0, unit.indexes().size()));
    }

    private void addCapacity(SchedulingUnit unit, WorkerState worker, List<TaskCapacity> capacity) {
        Resources need = unit.spec().perTask();
        Reservation reservation = reservations.get(worker);
        Resources free = reservation == null ? worker.free() : worker.free().minus(reservation.reserved);
        List<ActiveRun> runs = new ArrayList<>(worker.runs.values());
        runs.sort(Comparator.comparingDouble(this::remainingMs));
        int found = 0;
        double availableInMs = 0;
        for (int next = 0; next <= runs.size() && found < unit.indexes().size(); next++) {
            while (need.fitsIn(free) && found < unit.indexes().size()) {
                capacity.add(new TaskCapacity(worker, availableInMs));
                free = free.minus(need);
                found++;
            }
            if (next < runs.size()) {
                free = free.plus(runs.get(next).need);
                availableInMs = remainingMs(runs.get(next));
            }
        }
    }

    private Resources predictedFree(WorkerState worker, double availableInMs) {
        Resources free = worker.free();
        for (ActiveRun run : worker.runs.values()) {
            if (remainingMs(run) <= availableInMs) {
                free = free.plus(run.need);
            }
        }
        return free;
    }

    private double remainingMs(ActiveRun run) {
        double remainingMs = run.stopping
                ? MIN_REMAINING_MS
                : state.predictor.remainingMs(run, state.settings.remoteFactor(), nowMs);
        return Math.max(MIN_REMAINING_MS, remainingMs);
    }
}
