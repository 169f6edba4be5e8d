package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.TaskRun;

/** Renews the workers' leases and reconciles their reports with the runs ordered. Not thread-safe. */
final class Renewals {

    /** Delay in ms before the retry of a failed renewal. */
    private static final long RETRY_MS = 300;

    /** Delay in ms between renewals while ended runs are not yet stored; a worker reports those without waiting. */
    private static final long UNSTORED_RETRY_MS = 500;

    /** Extra time in ms before an owner releases the runs of a worker that it never reached. */
    private static final long UNKNOWN_SLACK_MS = 3000;

    /** Minimum time in ms between two observations of a run's speed. */
    private static final long SPEED_SPAN_MS = 700;

    private static final double PERCENT = 100;

    private final CellState state;
    private final Runs runs;
    private final long takenMs;

    Renewals(CellState state, Runs runs, long takenMs) {
        this.state = state;
        this.runs = runs;
        this.takenMs = takenMs;
    }

    void sendDue(long nowMs) {
        for (WorkerState worker : state.workers.values()) {
            boolean wanted = worker.listed || !worker.runs.isEmpty();
            if (wanted && worker.registration != null && !worker.renewing && nowMs >= worker.retryAtMs) {
                send(worker, nowMs);
            }
        }
    }

    /** Sends a renewal. It does not extend the lease of a worker that does not answer, so that the lease can expire. */
    private void send(WorkerState worker, long nowMs) {
        worker.renewing = true;
        boolean busy = !worker.runs.isEmpty();
        OptionalLong leaseEndMs = OptionalLong.empty();
        if (worker.known && busy && !worker.failing) {
            long endMs = worker.leaseEnd(state.settings.leaseMs(), nowMs);
            worker.noteLease(endMs);
            leaseEndMs = OptionalLong.of(endMs);
        }
        long waitMs = busy ? state.settings.busyWaitMs() : state.settings.idleWaitMs();
        boolean settled = worker.known
                && worker.seenSequence == worker.acknowledged
                && worker.runs.values().stream().noneMatch(run -> run.stopping);
        state.effects.add(
                new OwnerEffect.Renew(worker.id, leaseEndMs, worker.acknowledged, settled ? waitMs : settling(worker)));
    }

    /**
     * Returns the wait in ms of a renewal at a worker with unstored ends or pending stops. It is short while only stops
     * are pending, since the run's absence from the report may confirm its stop, and otherwise 0.
     */
    private long settling(WorkerState worker) {
        return worker.known && worker.seenSequence == worker.acknowledged ? UNSTORED_RETRY_MS / 2 : 0;
    }

    void failed(WorkerState worker, String problem, long nowMs) {
        worker.renewing = false;
        worker.failing = true;
        worker.retryAtMs = nowMs + RETRY_MS;
        state.log.line(
                "renewal-failed",
                "worker",
                worker.id,
                "problem",
                problem,
                "silentMs",
                nowMs - worker.contactMs,
                "runs",
                worker.runs.size());
    }

    void answered(WorkerState worker, long sentMs, WorkerReport report, long nowMs) {
        worker.renewing = false;
        if (worker.known && report.incarnation() < worker.incarnation) {
            return;
        }
        if (!worker.known || report.incarnation() != worker.incarnation) {
            reborn(worker, report, nowMs);
        }
        worker.readClock(report.clockMs(), nowMs);
        worker.failing = false;
        worker.retryAtMs = nowMs;
        for (WorkerReport.EndedRun end : report.ended()) {
            if (end.sequence() > worker.seenSequence) {
                worker.seenSequence = end.sequence();
                runs.ended(worker, end, nowMs);
            }
        }
        compare(worker, sentMs, report, nowMs);
        if (worker.seenSequence > worker.acknowledged) {
            worker.retryAtMs = nowMs + UNSTORED_RETRY_MS;
        }
    }

    private void reborn(WorkerState worker, WorkerReport report, long nowMs) {
        boolean firstContact = !worker.known;
        worker.newLife(report.incarnation());
        if (firstContact) {
            worker.noteLease(report.clockMs() + state.settings.leaseMs());
            return;
        }
        state.log.line(
                "worker-restarted",
                "worker",
                worker.id,
                "incarnation",
                report.incarnation(),
                "lostRuns",
                worker.runs.size());
        for (ActiveRun run : List.copyOf(worker.runs.values())) {
            if (run.stage == ActiveRun.Stage.RUNNING) {
                runs.release(run, "worker-restarted", nowMs);
            } else if (run.stage == ActiveRun.Stage.ORDERED) {
                run.unanswered = true;
                runs.stop(run, "worker-restarted", nowMs);
            }
        }
    }

    private void compare(WorkerState worker, long sentMs, WorkerReport report, long nowMs) {
        Map<TaskRun, WorkerReport.RunningTask> running = new HashMap<>();
        report.running().forEach(task -> running.put(task.run(), task));
        for (WorkerReport.RunningTask task : report.running()) {
            ActiveRun run = worker.runs.get(task.run());
            if (run == null) {
                unexpected(worker, task.run(), nowMs);
            } else {
                progressed(run, task, nowMs);
            }
        }
        if (!report.complete()) {
            return;
        }
        for (ActiveRun run : List.copyOf(worker.runs.values())) {
            if (!running.containsKey(run.run)) {
                absent(run, sentMs, nowMs);
            }
        }
    }

    private void absent(ActiveRun run, long sentMs, long nowMs) {
        if (run.stage == ActiveRun.Stage.RECORDING) {
            return;
        }
        if (run.absenceProvesEndMs < sentMs) {
            runs.release(run, "never-ran-or-ended", nowMs);
        } else if (run.stage == ActiveRun.Stage.RUNNING && run.confirmedMs < sentMs) {
            runs.stop(run, "vanished", nowMs);
        } else if (run.stage == ActiveRun.Stage.ORDERED && run.unansweredMs < sentMs) {
            runs.stop(run, "start-in-doubt", nowMs);
        }
    }

    private void unexpected(WorkerState worker, TaskRun name, long nowMs) {
        JobState job = state.jobs.get(name.task().job());
        if (job == null || job.task(name.task()) == null) {
            state.log.line("unknown-run", "worker", worker.id, "run", name);
            state.effects.add(new OwnerEffect.Stop(worker.id, name));
            return;
        }
        ActiveRun run = new ActiveRun(name, job, worker, ActiveRun.Stage.RUNNING);
        worker.add(run);
        run.confirm(nowMs);
        runs.stop(run, "late-start", nowMs);
    }

    private void progressed(ActiveRun run, WorkerReport.RunningTask task, long nowMs) {
        if (run.stage == ActiveRun.Stage.RECORDING) {
            return;
        }
        run.confirm(nowMs);
        if (run.current()) {
            saveCheckpoint(run, task.checkpoint());
        }
        if (task.percent() != run.percent) {
            run.percent = task.percent();
            run.percentMs = nowMs;
        }
        observeSpeed(run, nowMs);
    }

    private void saveCheckpoint(ActiveRun run, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return;
        }
        if (Runs.gang(run.job, run.run)) {
            run.job.tasks(run.run.task().step()).forEach(task -> task.save(checkpoint));
        } else {
            run.task().save(checkpoint);
        }
    }

    /** Observes a run's speed. A gang member at 100 percent waits for the others, so it is not an observation. */
    private void observeSpeed(ActiveRun run, long nowMs) {
        if (run.percent <= 0 || run.percent >= PERCENT || run.remote) {
            return;
        }
        if (run.speedPercent < 0) {
            run.speedPercent = run.percent;
            run.speedMs = nowMs;
            return;
        }
        if (nowMs - run.speedMs >= SPEED_SPAN_MS) {
            double doneMs =
                    (run.percent - run.speedPercent) / PERCENT * run.step().estimatedMs();
            state.forecast.observe(run.job, run.worker, doneMs / (nowMs - run.speedMs));
            run.speedPercent = run.percent;
            run.speedMs = nowMs;
        }
    }

    /** Releases the runs of workers whose lease has certainly expired, and forgets unlisted workers without runs. */
    void expire(long nowMs) {
        for (WorkerState worker : List.copyOf(state.workers.values())) {
            boolean expired = worker.known
                    ? worker.leaseExpired(nowMs)
                    : nowMs - takenMs
                            > state.settings.leaseMs() * (1 + 2 * OwnerSettings.CLOCK_DRIFT) + UNKNOWN_SLACK_MS;
            if (expired && !worker.runs.isEmpty()) {
                lost(worker, "lease-expired", nowMs);
            }
            if (!worker.listed && worker.runs.isEmpty() && !worker.renewing) {
                state.workers.remove(worker.id);
            }
        }
    }

    /** Releases all runs of a worker on which nothing runs any more. */
    void lost(WorkerState worker, String cause, long nowMs) {
        for (ActiveRun run : List.copyOf(worker.runs.values())) {
            if (run.stage != ActiveRun.Stage.RECORDING) {
                runs.release(run, cause, nowMs);
            }
        }
    }
}
