package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.TaskRun;

/** Renews the workers' leases and reconciles their reports with the ordered runs. Not thread-safe. */
final class LeaseRenewer {

    /** Delay in ms before the retry of a failed renewal. */
    private static final long RETRY_DELAY_MS = 300;

    /** The same for a worker whose next process may carry out orders for this one, until its restart is known. */
    private static final long DOUBT_RETRY_DELAY_MS = 100;

    /** Delay in ms between renewals while ended runs are not yet stored; a worker reports those without waiting. */
    private static final long UNSTORED_DELAY_MS = 500;

    /** Delay in ms between renewals of a worker that may get no lease yet. */
    private static final long NO_LEASE_DELAY_MS = 100;

    /**
     * Largest number of first renewals in flight. A new owner of many workers would send nothing else while it sends
     * them all, not even its heartbeat.
     */
    private static final int MAX_FIRST_RENEWALS = 32;

    /** Time in ms after which a first renewal without an answer no longer holds back others. */
    private static final long FIRST_RENEWAL_HOLD_MS = 300;

    /** Minimum time in ms between two observations of a run's speed. */
    private static final long MIN_SPEED_INTERVAL_MS = 700;

    private static final double PERCENT = 100;

    private final CellState state;
    private final RunTracker runTracker;
    private final UnreachedLeases unreachedLeases;

    LeaseRenewer(CellState state, RunTracker runTracker, UnreachedLeases unreachedLeases) {
        this.state = state;
        this.runTracker = runTracker;
        this.unreachedLeases = unreachedLeases;
    }

    /**
     * Sends the renewals that are due; of the first ones as many as may be in flight, those to workers that were asked
     * longest ago or never before others, and those to workers with runs before others of these.
     */
    void sendDueRenewals(long nowMs) {
        int firstInFlight = 0;
        List<WorkerState> firstDue = new ArrayList<>();
        for (WorkerState worker : state.workers.values()) {
            if (!worker.contacted && worker.renewing && nowMs - worker.renewalSentMs < FIRST_RENEWAL_HOLD_MS) {
                firstInFlight++;
            } else if (due(worker, nowMs) && worker.contacted) {
                send(worker, nowMs);
            } else if (due(worker, nowMs)) {
                firstDue.add(worker);
            }
        }
        firstDue.stream()
                .sorted(Comparator.<WorkerState>comparingLong(worker -> worker.renewalSentMs)
                        .thenComparing(worker -> worker.runs.isEmpty()))
                .limit(Math.max(0, MAX_FIRST_RENEWALS - firstInFlight))
                .forEach(worker -> send(worker, nowMs));
    }

    private static boolean due(WorkerState worker, long nowMs) {
        boolean needed = worker.listed
                || !worker.runs.isEmpty()
                || worker.hasUnacknowledgedEnds()
                || !worker.unansweredStarts.settled(nowMs);
        return needed && worker.registration != null && !worker.renewing && nowMs >= worker.nextRenewalMs;
    }

    /** Sends a renewal. It does not extend the lease of a worker that does not answer, so that the lease can expire. */
    private void send(WorkerState worker, long nowMs) {
        worker.renewing = true;
        worker.renewalSentMs = nowMs;
        boolean busy = !worker.runs.isEmpty();
        OptionalLong leaseEndMs = OptionalLong.empty();
        boolean mayGrant = unreachedLeases.mayGrant(worker.id);
        if (worker.contacted && busy && !worker.renewalFailing && mayGrant && state.mayGrantLeases(nowMs)) {
            long leaseMs = worker.registration.leaving() ? state.settings.leavingLeaseMs() : state.settings.leaseMs();
            long endMs = worker.newLeaseEndMs(leaseMs, nowMs);
            worker.leaseSent(endMs, nowMs);
            leaseEndMs = OptionalLong.of(endMs);
        }
        long waitMs = busy ? state.settings.busyWorkerWaitMs() : state.settings.idleWorkerWaitMs();
        worker.sentAcknowledgement = acknowledgement(worker);
        boolean settled = worker.contacted
                && mayGrant
                && !worker.renewalFailing
                && worker.sentAcknowledgement == 0
                && worker.seenSequence == worker.acknowledgedSequence
                && worker.runs.values().stream().noneMatch(run -> run.stopping);
        state.effects.add(new OwnerEffect.Renew(
                worker.id, leaseEndMs, worker.sentAcknowledgement, settled ? waitMs : unsettledWaitMs(worker)));
    }

    /**
     * Returns the sequence number that a renewal acknowledges; 0 if the worker has confirmed it or may have restarted.
     * A new incarnation numbers its ends anew and would forget those up to this number, which were never reported.
     */
    private static long acknowledgement(WorkerState worker) {
        boolean confirmed = worker.acknowledgedSequence <= worker.confirmedAcknowledgement;
        return confirmed || worker.renewalFailing ? 0 : worker.acknowledgedSequence;
    }

    /**
     * Returns the wait in ms of a renewal at a worker with unstored ends or pending stops. It is short while only stops
     * are pending, since the run's absence from the report may confirm its stop. It is 0 with unstored ends, with an
     * acknowledgement, so that a crash of the worker rarely leaves one in doubt, and for a worker that has not answered
     * yet or has stopped answering: its report may show a restart, after which the start orders that the earlier
     * process has not answered have to be barred at once. It is 0, too, for a worker whose next renewal is to grant the
     * first lease.
     */
    private long unsettledWaitMs(WorkerState worker) {
        boolean answering = worker.contacted && !worker.renewalFailing && unreachedLeases.mayGrant(worker.id);
        boolean endsSettled = worker.seenSequence == worker.acknowledgedSequence && worker.sentAcknowledgement == 0;
        return answering && endsSettled ? UNSTORED_DELAY_MS / 2 : 0;
    }

    /**
     * Renews a worker at once if another process of it has registered than the one that has answered last. The renewal
     * in flight may have to wait for its time-out; until then the new process would know neither the epoch nor which
     * starts must not happen any more.
     */
    void registered(WorkerState worker, long nowMs) {
        boolean answered = !worker.contacted || worker.registration.describes(worker.incarnation);
        if (answered || worker.registration.incarnation() < worker.incarnation) {
            return;
        }
        if (worker.renewing) {
            worker.renewing = false;
            worker.renewalUnanswered();
        }
        worker.renewalFailing = true;
        worker.nextRenewalMs = nowMs;
    }

    void renewalFailed(WorkerState worker, long sentMs, String problem, long nowMs) {
        // A later renewal has been sent since.
        if (sentMs < worker.renewalSentMs) {
            return;
        }
        worker.renewing = false;
        worker.renewalUnanswered();
        worker.renewalFailing = true;
        boolean doubt = !worker.unansweredStarts.settled(nowMs);
        worker.nextRenewalMs = nowMs + (doubt ? DOUBT_RETRY_DELAY_MS : RETRY_DELAY_MS);
        state.log.line(
                "renewal-failed",
                "worker",
                worker.id,
                "problem",
                problem,
                "silentMs",
                worker.silentMs(nowMs),
                "runs",
                worker.runs.size());
    }

    void renewalAnswered(WorkerState worker, long sentMs, WorkerReport report, long nowMs) {
        worker.renewing &= sentMs < worker.renewalSentMs;
        // A late answer of an earlier process of the worker.
        if (worker.contacted && report.incarnation() < worker.incarnation) {
            return;
        }
        if (!worker.contacted || report.incarnation() != worker.incarnation) {
            incarnationChanged(worker, sentMs, report, nowMs);
        }
        worker.acknowledgementConfirmed();
        worker.readClock(report.clockMs(), nowMs);
        worker.renewalFailing = false;
        worker.nextRenewalMs = unreachedLeases.mayGrant(worker.id) ? nowMs : nowMs + NO_LEASE_DELAY_MS;
        for (WorkerReport.EndedRun end : report.ended()) {
            if (end.sequence() > worker.seenSequence) {
                worker.seenSequence = end.sequence();
                runTracker.runEnded(worker, end, nowMs);
            }
        }
        reconcile(worker, sentMs, report, nowMs);
        if (worker.seenSequence > worker.acknowledgedSequence) {
            worker.nextRenewalMs = nowMs + UNSTORED_DELAY_MS;
        }
    }

    private void incarnationChanged(WorkerState worker, long sentMs, WorkerReport report, long nowMs) {
        boolean firstContact = !worker.contacted;
        long previousIncarnation = worker.incarnation;
        worker.startIncarnation(report.incarnation(), nowMs);
        // A lease may have been granted on the clock of the earlier process; the worker cuts it to this length.
        worker.extendLease(report.clockMs() + state.settings.longestLeaseMs());
        if (firstContact) {
            return;
        }
        state.log.count("workers.restarted");
        state.log.line(
                "worker-restarted",
                "worker",
                worker.id,
                "incarnation",
                report.incarnation(),
                "before",
                previousIncarnation,
                "lostRuns",
                worker.runs.size(),
                "confirmed",
                worker.runCount(ActiveRun.Stage.RUNNING),
                "unconfirmed",
                worker.runCount(ActiveRun.Stage.ORDERED),
                "workInMs",
                worker.workDelayMs(nowMs));
        Set<TaskRun> reported = reportedRuns(report);
        for (ActiveRun run : List.copyOf(worker.runs.values())) {
            if (run.stage == ActiveRun.Stage.STORING) {
                continue;
            }
            run.forgetIncarnation();
            if (report.complete() && !reported.contains(run.id)) {
                runMissingAfterRestart(run, sentMs, nowMs);
            }
        }
        runTracker.barUnansweredStarts(worker, nowMs);
    }

    /**
     * Releases a run that the new incarnation neither runs nor has ended, once it cannot start there any more. The new
     * incarnation accepts orders before its restart is known, so a run may be confirmed by it, and an order that the
     * earlier incarnation did not answer may still reach it.
     */
    private void runMissingAfterRestart(ActiveRun run, long sentMs, long nowMs) {
        if (run.stage == ActiveRun.Stage.ORDERED || run.startUnanswered) {
            run.startUnanswered = true;
            runTracker.stop(run, "worker-restarted", nowMs);
        } else if (run.confirmedMs < sentMs) {
            runTracker.release(run, "worker-restarted", nowMs);
        }
    }

    private static Set<TaskRun> reportedRuns(WorkerReport report) {
        Set<TaskRun> runs = new HashSet<>();
        report.running().forEach(task -> runs.add(task.run()));
        report.ended().forEach(end -> runs.add(end.run()));
        return runs;
    }

    private void reconcile(WorkerState worker, long sentMs, WorkerReport report, long nowMs) {
        Map<TaskRun, WorkerReport.RunningTask> running = new HashMap<>();
        report.running().forEach(task -> running.put(task.run(), task));
        for (WorkerReport.RunningTask task : report.running()) {
            state.duplicateRuns.check(worker, task.run(), "RUNNING");
            ActiveRun run = worker.runs.get(task.run());
            if (run == null) {
                unexpectedRun(worker, task.run(), nowMs);
            } else {
                runReported(run, task, nowMs);
            }
        }
        if (!report.complete()) {
            return;
        }
        for (ActiveRun run : List.copyOf(worker.runs.values())) {
            if (!running.containsKey(run.id)) {
                runAbsent(run, sentMs, nowMs);
            }
        }
    }

    private void runAbsent(ActiveRun run, long sentMs, long nowMs) {
        if (run.stage == ActiveRun.Stage.STORING) {
            return;
        }
        if (run.absenceConclusiveAfterMs < sentMs) {
            runTracker.absent(run, nowMs);
        } else if (run.stage == ActiveRun.Stage.RUNNING && run.confirmedMs < sentMs) {
            runTracker.stop(run, "vanished", nowMs);
        } else if (run.stage == ActiveRun.Stage.ORDERED && run.startUnansweredMs < sentMs) {
            runTracker.stop(run, "start-in-doubt", nowMs);
        }
    }

    private void unexpectedRun(WorkerState worker, TaskRun id, long nowMs) {
        JobState job = state.jobs.get(id.task().job());
        if (job == null || job.task(id.task()) == null) {
            state.log.line("unknown-run", "worker", worker.id, "run", id);
            state.effects.add(new OwnerEffect.Stop(worker.id, id));
            return;
        }
        ActiveRun run = new ActiveRun(id, job, worker, ActiveRun.Stage.RUNNING);
        worker.add(run);
        run.listed = true;
        runTracker.confirm(run, nowMs);
        runTracker.stop(run, "late-start", nowMs);
    }

    private void runReported(ActiveRun run, WorkerReport.RunningTask task, long nowMs) {
        if (run.stage == ActiveRun.Stage.STORING) {
            return;
        }
        run.listed = true;
        run.inherited = false;
        runTracker.confirm(run, nowMs);
        if (run.current()) {
            RunTracker.saveCheckpoint(run.job, run.id, task.checkpoint());
        }
        if (task.percent() != run.percent) {
            run.percent = task.percent();
            run.percentChangedMs = nowMs;
        }
        observeSpeed(run, nowMs);
    }

    /**
     * Observes a run's speed, unless it is slowed by its distance from its data or gang, or is at 100 percent, where a
     * gang member waits for the others.
     */
    private void observeSpeed(ActiveRun run, long nowMs) {
        if (run.percent <= 0 || run.percent >= PERCENT || run.remote) {
            return;
        }
        if (run.speedSamplePercent < 0) {
            run.speedSamplePercent = run.percent;
            run.speedSampleMs = nowMs;
            return;
        }
        if (nowMs - run.speedSampleMs >= MIN_SPEED_INTERVAL_MS) {
            double doneMs = (run.percent - run.speedSamplePercent)
                    / PERCENT
                    * run.step().estimatedMs();
            state.predictor.observe(run.job, run.worker, doneMs / (nowMs - run.speedSampleMs));
            run.speedSamplePercent = run.percent;
            run.speedSampleMs = nowMs;
        }
    }

    /** Releases the runs of workers whose lease has certainly expired, and removes unlisted workers without runs. */
    void expireLeases(long nowMs) {
        for (WorkerState worker : List.copyOf(state.workers.values())) {
            boolean expired = worker.contacted ? worker.leaseExpired(nowMs) : unreachedLeases.expired(worker.id, nowMs);
            if (expired && !worker.runs.isEmpty()) {
                releaseExpired(worker, nowMs);
            }
            boolean settled = worker.runs.isEmpty()
                    && (expired || !worker.hasUnacknowledgedEnds())
                    && worker.unansweredStarts.settled(nowMs)
                    && worker.acknowledgementsSettled(nowMs);
            if (!worker.listed && settled && !worker.renewing) {
                state.workers.remove(worker.id);
            }
        }
    }

    /** Releases the ordered runs of a worker whose lease has expired; unlisted runs wait for the longest lease. */
    private void releaseExpired(WorkerState worker, long nowMs) {
        boolean longestExpired =
                !worker.contacted || worker.longestLeaseExpired(state.settings.longestLeaseMs(), nowMs);
        for (ActiveRun run : List.copyOf(worker.runs.values())) {
            if (run.stage != ActiveRun.Stage.STORING && (run.listed || longestExpired)) {
                runTracker.release(run, "lease-expired", nowMs);
            }
        }
    }
}
