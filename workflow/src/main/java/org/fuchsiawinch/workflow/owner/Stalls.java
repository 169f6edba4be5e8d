package org.fuchsiawinch.workflow.owner;

import java.util.List;

/**
 * Detects runs without progress and stops them, so that their tasks are assigned again. Members of a gang end together,
 * so a member at 100 percent waits for the others and is not stalled. Not thread-safe.
 */
final class Stalls {

    /** Minimum time in ms without progress that counts as a stall; renewals report progress about once a second. */
    private static final long MIN_STALL_MS = 2500;

    /** Share of the estimated run time without one percent of progress that counts as a stall. */
    private static final double STALL_SHARE = 0.25;

    private static final int ALL_DONE_PERCENT = 100;

    private final CellState state;
    private final Runs runs;

    Stalls(CellState state, Runs runs) {
        this.state = state;
        this.runs = runs;
    }

    void check(long nowMs) {
        for (WorkerState worker : state.workers.values()) {
            for (ActiveRun run : List.copyOf(worker.runs.values())) {
                check(run, nowMs);
            }
        }
    }

    private void check(ActiveRun run, long nowMs) {
        boolean waitsForGang = run.percent == ALL_DONE_PERCENT && Runs.gang(run.job, run.run);
        if (run.stage != ActiveRun.Stage.RUNNING || run.stopping || run.percent < 0 || waitsForGang) {
            return;
        }
        boolean heard = run.worker.contactMs - run.percentMs >= stallMs(run);
        if (!heard) {
            return;
        }
        if (!Runs.gang(run.job, run.run)) {
            run.worker.health.quarantine(nowMs);
            state.log.line("worker-quarantined", "worker", run.worker.id, "cause", "run-stalls");
        }
        runs.stop(run, "stalled", nowMs);
    }

    private static long stallMs(ActiveRun run) {
        return Math.max(MIN_STALL_MS, Math.round(STALL_SHARE * run.step().estimatedMs()));
    }
}
