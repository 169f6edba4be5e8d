package org.fuchsiawinch.workflow.owner;

import java.util.List;

/**
 * Detects runs without progress and stops them, so that their tasks are assigned again. Members of a gang end together,
 * so a member at 100 percent waits for the others and is not stalled. Not thread-safe.
 */
final class StallDetector {

    /** Minimum time in ms without progress that counts as a stall; renewals report progress about once a second. */
    private static final long MIN_STALL_MS = 2500;

    /** Share of the estimated run time without one percent of progress that counts as a stall. */
    private static final double STALL_SHARE = 0.25;

    private static final int COMPLETE_PERCENT = 100;

    private final CellState state;
    private final RunTracker runTracker;

    StallDetector(CellState state, RunTracker runTracker) {
        this.state = state;
        this.runTracker = runTracker;
    }

    void check(long nowMs) {
        for (WorkerState worker : state.workers.values()) {
            for (ActiveRun run : List.copyOf(worker.runs.values())) {
                check(run, nowMs);
            }
        }
    }

    private void check(ActiveRun run, long nowMs) {
        boolean waitsForGang = run.percent == COMPLETE_PERCENT && RunTracker.inGang(run.job, run.id);
        if (run.stage != ActiveRun.Stage.RUNNING || run.stopping || run.percent < 0 || waitsForGang) {
            return;
        }
        boolean stalled = run.worker.lastContactMs - run.percentChangedMs >= stallTimeoutMs(run);
        if (!stalled) {
            return;
        }
        // Members of a gang wait for each other, so the worker of a stalled one may not be at fault.
        if (!RunTracker.inGang(run.job, run.id) && run.worker.health.quarantine(run.confirmedMs, nowMs)) {
            state.log.line("worker-quarantined", "worker", run.worker.id, "cause", "run-stalls");
        }
        runTracker.stop(run, "stalled", nowMs);
    }

    private static long stallTimeoutMs(ActiveRun run) {
        return Math.max(MIN_STALL_MS, Math.round(STALL_SHARE * run.step().estimatedMs()));
    }
}
