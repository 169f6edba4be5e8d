package org.fuchsiawinch.workflow.owner;

import java.util.List;
import java.util.OptionalLong;

/**
 * Stops runs on draining workers that are not expected to end before the worker exits. Their tasks start elsewhere at
 * once; those that are lost with their worker start again only once its lease has expired, some seconds later. A run
 * with checkpoints goes on as long as its progress can still be saved. Not thread-safe.
 */
final class DepartingWorkers {

    /** Age in ms of a registration when it is read: the pause between reads and the store's delay. */
    private static final long REGISTRATION_AGE_MS = 250;

    /** Time in ms before the exit at which a run has to be stopped so that its progress is saved and reported. */
    private static final long STOP_LEAD_MS = 1300;

    private final CellState state;
    private final RunTracker runTracker;

    DepartingWorkers(CellState state, RunTracker runTracker) {
        this.state = state;
        this.runTracker = runTracker;
    }

    /** Handles the registration of a worker. */
    void registered(WorkerState worker, long nowMs) {
        OptionalLong leavesInMs = worker.registration.leavesInMs();
        worker.exitMs = worker.registration.leaving() && leavesInMs.isPresent()
                ? OptionalLong.of(nowMs + leavesInMs.getAsLong() - REGISTRATION_AGE_MS)
                : OptionalLong.empty();
        stopUnfinished(worker, nowMs);
    }

    /** Checks all draining workers, as forecasts follow the reported progress. */
    void check(long nowMs) {
        state.workers.values().forEach(worker -> stopUnfinished(worker, nowMs));
    }

    private void stopUnfinished(WorkerState worker, long nowMs) {
        if (worker.exitMs.isEmpty() || worker.runs.isEmpty() || !worker.listed) {
            return;
        }
        long leftMs = worker.exitMs.getAsLong() - nowMs;
        for (ActiveRun run : List.copyOf(worker.runs.values())) {
            if (mayStop(run) && remainingMs(run, nowMs) > leftMs && stopDue(run, leftMs)) {
                runTracker.stop(run, "worker-leaves", nowMs);
            }
        }
    }

    /** Returns whether it is known how far the run is. */
    private static boolean mayStop(ActiveRun run) {
        boolean started =
                run.stage == ActiveRun.Stage.RUNNING || run.stage == ActiveRun.Stage.ORDERED && run.startOrders > 0;
        return started && !run.stopping && run.current();
    }

    private static boolean stopDue(ActiveRun run, long leftMs) {
        return !run.step().checkpoints() || leftMs <= STOP_LEAD_MS;
    }

    /** Returns the expected time in ms until the run ends, with its gang. */
    private double remainingMs(ActiveRun run, long nowMs) {
        double remainingMs = state.predictor.remainingMs(run, state.settings.remoteFactor(), nowMs);
        if (!run.step().gang()) {
            return remainingMs;
        }
        return state.runIndex.runsOf(run.job).stream()
                .filter(other -> other.id.task().step() == run.id.task().step() && other.id.number() == run.id.number())
                .mapToDouble(other -> state.predictor.remainingMs(other, state.settings.remoteFactor(), nowMs))
                .reduce(remainingMs, Math::max);
    }
}
