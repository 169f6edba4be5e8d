package org.fuchsiawinch.workflow.owner;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.job.TaskState;

/**
 * Tracks each run from its start order to its end. A task is released only when its run is certain not to be running:
 * the worker reported its end or refused it for good, or the worker's lease has expired. Not thread-safe.
 */
final class RunTracker {

    /** Maximum number of start orders per run; a run that is then still unconfirmed is stopped. */
    private static final int MAX_START_ORDERS = 2;

    /** Delay in ms between two stop orders for the same run. */
    private static final long STOP_RETRY_MS = 400;

    private final CellState state;
    private final FailingJobs failingJobs;

    RunTracker(CellState state) {
        this.state = state;
        this.failingJobs = new FailingJobs(state);
    }

    /** Sends the start order of a run whose assignment is stored, or releases the run if it is no longer wanted. */
    void assignmentStored(ActiveRun run, long nowMs) {
        if (run.stage != ActiveRun.Stage.STORING) {
            return;
        }
        if (run.stopping || run.job.phase().ended()) {
            release(run, "withdrawn", nowMs);
            return;
        }
        if (!run.worker.accepts(run, nowMs)) {
            release(run, "worker-changed", nowMs);
            return;
        }
        run.stage = ActiveRun.Stage.ORDERED;
        sendStart(run, nowMs);
    }

    private void sendStart(ActiveRun run, long nowMs) {
        run.startOrders++;
        run.resumed = !run.task().checkpoint().isEmpty();
        long leaseEndMs = run.worker.newLeaseEndMs(state.settings.leaseMs(), nowMs);
        run.worker.leaseSent(leaseEndMs, nowMs);
        run.worker.unansweredStarts.sent(run.id, run.worker.incarnation, nowMs);
        state.effects.add(new OwnerEffect.Start(
                run.worker.id,
                run.id,
                run.job.submission().payload(),
                leaseEndMs,
                run.task().checkpoint()));
    }

    void startAnswered(WorkerState worker, TaskRun id, StartOutcome outcome, long nowMs) {
        if (outcome != StartOutcome.UNANSWERED) {
            worker.unansweredStarts.answered(id);
        }
        ActiveRun run = worker.runs.get(id);
        if (run == null || run.stage == ActiveRun.Stage.STORING) {
            return;
        }
        if (outcome != StartOutcome.STARTED) {
            state.log.line(
                    "start-not-confirmed",
                    "request",
                    id.task().job(),
                    "run",
                    id,
                    "worker",
                    worker.id,
                    "outcome",
                    outcome,
                    "tries",
                    run.startOrders);
        }
        switch (outcome) {
            case STARTED -> confirm(run, nowMs);
            case FENCED -> state.effects.add(new OwnerEffect.StepDown("worker " + worker.id + " knows a higher epoch"));
            case SUPERSEDED -> run.absenceConclusiveAfterMs = nowMs;
            case UNANSWERED -> startUnanswered(run, nowMs);
            case WITHHELD -> startWithheld(run, nowMs);
            default -> startRefused(run, outcome, nowMs);
        }
    }

    /** Records that a worker runs, or has run, a run. */
    void confirm(ActiveRun run, long nowMs) {
        run.confirm(nowMs);
        begun(run.job);
    }

    private void begun(JobState job) {
        if (job.markActive()) {
            state.begunJobs.add(job);
        }
    }

    private void startUnanswered(ActiveRun run, long nowMs) {
        run.startUnanswered = true;
        run.startUnansweredMs = nowMs;
        boolean mayRepeat =
                run.startOrders < MAX_START_ORDERS && state.mayOrderStarts(nowMs) && run.worker.accepts(run, nowMs);
        if (run.stage != ActiveRun.Stage.RUNNING && mayRepeat && !run.stopping) {
            sendStart(run, nowMs);
        }
    }

    /** Sends the order after the next append, unless an earlier one for the run may be carried out meanwhile. */
    private void startWithheld(ActiveRun run, long nowMs) {
        run.startOrders--;
        if (run.startOrders > 0) {
            run.startUnansweredMs = nowMs;
            return;
        }
        run.stage = ActiveRun.Stage.STORING;
        state.pendingStarts.add(run);
    }

    private void startRefused(ActiveRun run, StartOutcome outcome, long nowMs) {
        if (outcome == StartOutcome.REJECTED && failingJobs.runFailed(run.worker, run.job, nowMs, nowMs)) {
            state.log.line("worker-quarantined", "worker", run.worker.id, "cause", "rejects-starts");
        }
        // An earlier order that was not answered may still be carried out, so the run cannot be released yet.
        if (run.startUnanswered) {
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
        run.worker.runStopping();
        state.log.count("runs.stopped." + cause);
        state.log.line(
                "run-stopped",
                "request",
                run.id.task().job(),
                "run",
                run.id,
                "worker",
                run.worker.id,
                "cause",
                cause,
                "percent",
                run.percent);
        if (run.stage != ActiveRun.Stage.STORING) {
            sendStop(run, nowMs);
        }
    }

    private void sendStop(ActiveRun run, long nowMs) {
        run.stopSentMs = nowMs;
        state.effects.add(new OwnerEffect.Stop(run.worker.id, run.id));
    }

    void stopAnswered(WorkerState worker, TaskRun id, boolean accepted, long nowMs) {
        ActiveRun run = worker.runs.get(id);
        if (accepted) {
            worker.unansweredStarts.stopAccepted(id, worker.incarnation);
        }
        if (run != null && accepted) {
            run.stopAccepted = true;
            run.absenceConclusiveAfterMs = Math.min(run.absenceConclusiveAfterMs, nowMs);
        }
    }

    /** Retries stop orders that were not accepted. */
    void retryStops(WorkerState worker, long nowMs) {
        for (ActiveRun run : List.copyOf(worker.runs.values())) {
            boolean stopSent = run.stopping && run.stage != ActiveRun.Stage.STORING;
            if (stopSent && !run.stopAccepted && nowMs - run.stopSentMs >= STOP_RETRY_MS) {
                sendStop(run, nowMs);
            }
        }
    }

    /**
     * Bars start orders that an earlier incarnation of the worker has not answered. Runs that still hold capacity are
     * stopped by their own doubt.
     */
    void barUnansweredStarts(WorkerState worker, long nowMs) {
        for (TaskRun run : worker.unansweredStarts.stopsDue(worker.incarnation, nowMs)) {
            if (!worker.runs.containsKey(run)) {
                state.log.line(
                        "late-start-barred",
                        "request",
                        run.task().job(),
                        "run",
                        run,
                        "worker",
                        worker.id,
                        "incarnation",
                        worker.incarnation);
                state.effects.add(new OwnerEffect.Stop(worker.id, run));
            }
        }
    }

    void stopAll(JobState job, String cause, long nowMs) {
        for (ActiveRun run : runsOf(job)) {
            stop(run, cause, nowMs);
        }
    }

    List<ActiveRun> runsOf(JobState job) {
        return state.runIndex.runsOf(job);
    }

    /** Processes the end of a run reported by a worker. */
    void runEnded(WorkerState worker, WorkerReport.EndedRun end, long nowMs) {
        ActiveRun run = worker.runs.get(end.run());
        JobState job = state.jobs.get(end.run().task().job());
        TaskState task = job == null ? null : job.task(end.run().task());
        if (run != null) {
            worker.remove(run);
            state.runTimes.ended(run, end.end(), nowMs);
        }
        if (end.end() == WorkerReport.RunEnd.DONE) {
            state.duplicateRuns.check(worker, end.run(), "DONE");
        }
        if (task == null || task.phase() == TaskPhase.DONE) {
            return;
        }
        begun(job);
        boolean current = run != null && run.current();
        state.log.count("runs.ended." + end.end());
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
                current,
                "incarnation",
                worker.incarnation);
        if (end.end() == WorkerReport.RunEnd.DONE) {
            taskDone(worker, job, end.run(), nowMs);
            return;
        }
        if (end.end() == WorkerReport.RunEnd.FAILED) {
            long startedMs = run == null ? nowMs : Math.min(run.confirmedMs, nowMs);
            runFailed(worker, job, end.run(), startedMs, nowMs);
        }
        if (current) {
            saveCheckpoint(job, end.run(), end.checkpoint());
            releaseTask(job, end.run(), nowMs);
        }
    }

    /** Keeps a checkpoint of a run; one of any member of a gang is kept for all, which must carry the same value. */
    static void saveCheckpoint(JobState job, TaskRun id, String checkpoint) {
        if (inGang(job, id)) {
            job.tasks(id.task().step()).forEach(member -> member.saveCheckpoint(checkpoint));
        } else {
            job.task(id.task()).saveCheckpoint(checkpoint);
        }
    }

    private void taskDone(WorkerState worker, JobState job, TaskRun id, long nowMs) {
        failingJobs.runSucceeded(worker, job);
        state.changedJobs.add(job);
        if (inGang(job, id)) {
            recordGangDone(job, id);
            job.tasks(id.task().step()).forEach(TaskState::markDone);
        } else {
            state.duplicateRuns.taskDone(id, Optional.of(worker.id));
            job.task(id.task()).markDone();
        }
        stopOtherRuns(job, id, nowMs);
        if (!job.phase().ended() && job.allTasksDone()) {
            state.endJob(job, JobPhase.COMPLETED, nowMs);
        }
        state.closeIfDone(job);
    }

    private void recordGangDone(JobState job, TaskRun id) {
        int step = id.task().step();
        List<TaskState> members = job.tasks(step);
        for (int index = 0; index < members.size(); index++) {
            TaskRun member = new TaskRun(new TaskRef(job.submission().id(), step, index), id.number());
            state.duplicateRuns.taskDone(member, members.get(index).worker());
        }
    }

    /** Stops other runs of a task that is done. Members of a gang that is done end by themselves. */
    private void stopOtherRuns(JobState job, TaskRun id, long nowMs) {
        for (ActiveRun other : runsOf(job)) {
            boolean sameTask = other.id.task().equals(id.task());
            if (sameTask) {
                stop(other, "task-done", nowMs);
            }
        }
    }

    private void runFailed(WorkerState worker, JobState job, TaskRun id, long startedMs, long nowMs) {
        if (failingJobs.runFailed(worker, job, startedMs, nowMs)) {
            state.log.line("worker-quarantined", "worker", worker.id, "cause", "fails-runs");
        }
        state.changedJobs.add(job);
        int step = id.task().step();
        if (!inGang(job, id)) {
            job.task(id.task()).countFailure(id.number());
        } else {
            job.tasks(step).forEach(member -> member.countFailure(id.number()));
        }
        int failures = job.task(id.task()).failures();
        if (failures >= job.submission().rules().maxAttempts() && !job.phase().ended()) {
            state.endJob(job, JobPhase.FAILED, nowMs);
            stopAll(job, "job-failed", nowMs);
        }
    }

    /**
     * Handles a run that is not running and cannot start by any order that was answered. One that an earlier owner has
     * assigned is ordered on the same worker: an order of that owner may be held back and reach the worker's next
     * process, which knows no epoch, and would start the task beside a run on another worker.
     */
    void absent(ActiveRun run, long nowMs) {
        boolean wanted = run.inherited
                && run.current()
                && !run.stopping
                && !run.job.phase().ended();
        run.inherited = false;
        if (!wanted || !Placer.holds(run.worker, run.job, run.step(), nowMs)) {
            release(run, "never-ran-or-ended", nowMs);
            return;
        }
        state.log.line(
                "run-adopted",
                "request",
                run.id.task().job(),
                "run",
                run.id,
                "worker",
                run.worker.id,
                "incarnation",
                run.worker.incarnation);
        run.adopt();
        state.pendingStarts.add(run);
    }

    /** Removes a run that is certainly not running and releases its task, unless it has been released already. */
    void release(ActiveRun run, String cause, long nowMs) {
        run.worker.remove(run);
        if (!run.current()) {
            return;
        }
        state.log.count("runs.released." + cause);
        state.log.line(
                "run-released",
                "request",
                run.id.task().job(),
                "run",
                run.id,
                "worker",
                run.worker.id,
                "cause",
                cause,
                "stage",
                run.stage,
                "silentMs",
                run.worker.silentMs(nowMs),
                "leaseLeftMs",
                run.worker.leaseLeftText(nowMs),
                "incarnation",
                run.worker.incarnation);
        releaseTask(run.job, run.id, nowMs);
    }

    private void releaseTask(JobState job, TaskRun id, long nowMs) {
        job.task(id.task()).release();
        state.changedJobs.add(job);
        if (inGang(job, id)) {
            for (ActiveRun member : runsOf(job)) {
                if (member.id.task().step() == id.task().step() && member.id.number() == id.number()) {
                    stop(member, "gang-broken", nowMs);
                }
            }
        }
        state.closeIfDone(job);
    }

    static boolean inGang(JobState job, TaskRun id) {
        return job.submission().steps().get(id.task().step()).gang();
    }
}
