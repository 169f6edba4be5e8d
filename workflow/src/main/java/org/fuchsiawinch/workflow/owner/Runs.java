package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.job.TaskState;

/**
 * Tracks each run from its start order to its end. A task is released only when its run is certain not to be running:
 * the worker reported its end or refused it for good, or the worker's lease has expired. Not thread-safe.
 */
final class Runs {

    /** Maximum number of start orders per run; a run that is then still unconfirmed is stopped. */
    private static final int START_TRIES = 2;

    /** Delay in ms between two stop orders for the same run. */
    private static final long STOP_RETRY_MS = 400;

    private final CellState state;

    Runs(CellState state) {
        this.state = state;
    }

    /** Sends the start order of a run whose assignment is stored, or releases the run if it is no longer wanted. */
    void assignmentStored(ActiveRun run, long nowMs) {
        if (run.stage != ActiveRun.Stage.RECORDING) {
            return;
        }
        if (run.stopping || run.job.phase().ended()) {
            release(run, "withdrawn", nowMs);
            return;
        }
        run.stage = ActiveRun.Stage.ORDERED;
        sendStart(run, nowMs);
    }

    private void sendStart(ActiveRun run, long nowMs) {
        run.tries++;
        long leaseEndMs = run.worker.leaseEnd(state.settings.leaseMs(), nowMs);
        run.worker.noteLease(leaseEndMs);
        state.effects.add(new OwnerEffect.Start(
                run.worker.id,
                run.run,
                run.job.submission().payload(),
                leaseEndMs,
                run.task().checkpoint()));
    }

    void startAnswered(WorkerState worker, TaskRun name, StartOutcome outcome, long nowMs) {
        ActiveRun run = worker.runs.get(name);
        if (run == null || run.stage == ActiveRun.Stage.RECORDING) {
            return;
        }
        if (outcome != StartOutcome.STARTED) {
            state.log.line(
                    "start-not-confirmed",
                    "request",
                    name.task().job(),
                    "run",
                    name,
                    "worker",
                    worker.id,
                    "outcome",
                    outcome,
                    "tries",
                    run.tries);
        }
        switch (outcome) {
            case STARTED -> run.confirm(nowMs);
            case FENCED -> state.effects.add(new OwnerEffect.StepDown("worker " + worker.id + " knows a higher epoch"));
            case SUPERSEDED -> run.absenceProvesEndMs = nowMs;
            case UNANSWERED -> unanswered(run, nowMs);
            default -> refused(run, outcome, nowMs);
        }
    }

    private void unanswered(ActiveRun run, long nowMs) {
        run.unanswered = true;
        run.unansweredMs = nowMs;
        if (run.stage != ActiveRun.Stage.RUNNING && run.tries < START_TRIES && !run.stopping) {
            sendStart(run, nowMs);
        }
    }

    private void refused(ActiveRun run, StartOutcome outcome, long nowMs) {
        if (outcome == StartOutcome.REJECTED && run.worker.health.failed(nowMs)) {
            state.log.line("worker-quarantined", "worker", run.worker.id, "cause", "rejects-starts");
        }
        if (run.unanswered) {
            stop(run, "start-in-doubt", nowMs);
            return;
        }
        release(run, "refused", nowMs);
    }

    /** Sends a stop order; a run whose start order was not sent is withdrawn once its assignment is stored. */
    void stop(ActiveRun run, String cause, long nowMs) {
        if (run.stopping) {
            return;
        }
        run.stopping = true;
        state.log.line(
                "run-stopped",
                "request",
                run.run.task().job(),
                "run",
                run.run,
                "worker",
                run.worker.id,
                "cause",
                cause,
                "percent",
                run.percent);
        if (run.stage != ActiveRun.Stage.RECORDING) {
            sendStop(run, nowMs);
        }
    }

    private void sendStop(ActiveRun run, long nowMs) {
        run.stopSentMs = nowMs;
        state.effects.add(new OwnerEffect.Stop(run.worker.id, run.run));
    }

    void stopAnswered(WorkerState worker, TaskRun name, boolean answered, long nowMs) {
        ActiveRun run = worker.runs.get(name);
        if (run != null && answered) {
            run.stopAnswered = true;
            run.absenceProvesEndMs = Math.min(run.absenceProvesEndMs, nowMs);
        }
    }

    /** Retries stop orders that were not answered. */
    void repeatStops(WorkerState worker, long nowMs) {
        for (ActiveRun run : List.copyOf(worker.runs.values())) {
            boolean waits = run.stopping && run.stage != ActiveRun.Stage.RECORDING;
            if (waits && !run.stopAnswered && nowMs - run.stopSentMs >= STOP_RETRY_MS) {
                sendStop(run, nowMs);
            }
        }
    }

    void stopAll(JobState job, String cause, long nowMs) {
        for (ActiveRun run : of(job)) {
            stop(run, cause, nowMs);
        }
    }

    List<ActiveRun> of(JobState job) {
        List<ActiveRun> found = new ArrayList<>();
        for (WorkerState worker : state.workers.values()) {
            for (ActiveRun run : worker.runs.values()) {
                if (run.job == job) {
                    found.add(run);
                }
            }
        }
        return found;
    }

    /** Processes the end of a run reported by a worker. */
    void ended(WorkerState worker, WorkerReport.EndedRun end, long nowMs) {
        ActiveRun run = worker.runs.get(end.run());
        JobState job = state.jobs.get(end.run().task().job());
        TaskState task = job == null ? null : job.task(end.run().task());
        if (run != null) {
            worker.remove(run);
        }
        if (task == null || task.phase() == TaskPhase.DONE) {
            return;
        }
        boolean current = run != null && run.current();
        state.log.line(
                "run-ended",
                "request",
                end.run().task().job(),
                "run",
                end.run(),
                "worker",
                worker.id,
                "end",
                end.end(),
                "current",
                current);
        if (end.end() == WorkerReport.RunEnd.DONE) {
            done(worker, job, end.run(), nowMs);
            return;
        }
        if (end.end() == WorkerReport.RunEnd.FAILED) {
            failed(worker, job, end.run(), nowMs);
        }
        if (current) {
            task.save(end.checkpoint());
            giveUp(job, end.run(), nowMs);
        }
    }

    private void done(WorkerState worker, JobState job, TaskRun name, long nowMs) {
        worker.health.done();
        state.changed.add(job);
        if (gang(job, name)) {
            job.tasks(name.task().step()).forEach(TaskState::done);
        } else {
            job.task(name.task()).done();
        }
        stopOthers(job, name, nowMs);
        if (!job.phase().ended() && job.allDone()) {
            state.end(job, JobPhase.COMPLETED, nowMs);
        }
        state.close(job);
    }

    /** Stops other runs of a task that is done. Members of a gang that is done end by themselves. */
    private void stopOthers(JobState job, TaskRun name, long nowMs) {
        for (ActiveRun other : of(job)) {
            boolean sameTask = other.run.task().equals(name.task());
            if (sameTask) {
                stop(other, "task-done", nowMs);
            }
        }
    }

    private void failed(WorkerState worker, JobState job, TaskRun name, long nowMs) {
        if (worker.health.failed(nowMs)) {
            state.log.line("worker-quarantined", "worker", worker.id, "cause", "fails-runs");
        }
        state.changed.add(job);
        int step = name.task().step();
        if (!gang(job, name)) {
            job.task(name.task()).countFailure(name.number());
        } else {
            job.tasks(step).forEach(member -> member.countFailure(name.number()));
        }
        int failures = job.task(name.task()).failures();
        if (failures >= job.submission().rules().maxAttempts() && !job.phase().ended()) {
            state.end(job, JobPhase.FAILED, nowMs);
            stopAll(job, "job-failed", nowMs);
        }
    }

    /** Releases a run that certainly does not run. */
    void release(ActiveRun run, String cause, long nowMs) {
        run.worker.remove(run);
        if (!run.current()) {
            return;
        }
        state.log.line(
                "run-released",
                "request",
                run.run.task().job(),
                "run",
                run.run,
                "worker",
                run.worker.id,
                "cause",
                cause);
        giveUp(run.job, run.run, nowMs);
    }

    private void giveUp(JobState job, TaskRun name, long nowMs) {
        job.task(name.task()).release();
        state.changed.add(job);
        if (gang(job, name)) {
            for (ActiveRun member : of(job)) {
                if (member.run.task().step() == name.task().step() && member.run.number() == name.number()) {
                    stop(member, "gang-broken", nowMs);
                }
            }
        }
        state.close(job);
    }

    static boolean gang(JobState job, TaskRun name) {
        return job.submission().steps().get(name.task().step()).gang();
    }
}
