package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.job.TaskState;
import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Schedules the jobs of one cell for the duration of one ownership.
 *
 * <p>Write-ahead: an assignment is stored before its start order is sent, and the end of a run is stored before it is
 * acknowledged to the worker. A worker receives start orders only after it has answered a renewal under this owner's
 * epoch, which fences off the orders of earlier owners. Not thread-safe; discarded when the node no longer owns the
 * cell.
 */
public final class CellOwner {

    /** Interval in ms between records of learned run times; bounds the observations that a takeover loses. */
    private static final long LEARNED_RECORD_MS = 2500;

    /** Minimum interval in ms between scheduling passes; other inputs than new records share the next pass. */
    private static final long MIN_PASS_INTERVAL_MS = 20;

    /** Share of the listed workers whose answers a new owner awaits before it schedules. */
    private static final double MIN_ANSWERED_SHARE = 0.8;

    /** Maximum time in ms that a new owner awaits them. */
    private static final long MAX_FLEET_WAIT_MS = 1000;

    private final CellState state;
    private final RunTracker runTracker;
    private final UnreachedLeases unreachedLeases;
    private final LeaseRenewer leaseRenewer;
    private final Scheduler scheduler;
    private final StallDetector stallDetector;
    private final OwnerLoad load;
    private final StandingJobs standingJobs;
    private final JobRetention retention;
    private final long epoch;
    private final long ownedSinceMs;
    private boolean appendPending;

    /** Whether an input since the last scheduling pass may allow a start. */
    private boolean passPending;

    /** Whether new records wait for a scheduling pass; a new job is scheduled at once. */
    private boolean recordsPending;

    /** Whether the last pass has left units for the next one, which follows once its records are stored. */
    private boolean passIncomplete;

    private long lastPassMs;

    /** Whether further workers are about to be listed. */
    private boolean workersPending;

    /** Whether enough workers have answered to schedule; stays true. */
    private boolean fleetKnown;

    private long lastAppendMs;

    /** Time in ms at which the append in flight was first sent. */
    private long appendSentMs;

    private long lastLearnedRecordMs;
    private List<CellRecord> pendingRemovals = List.of();

    /** Runs whose assignments are part of the append in flight. */
    private List<ActiveRun> startsBeingStored = List.of();

    /** Newest ended run by worker, of those stored with the append in flight. */
    private Map<WorkerId, NewestEnd> endsBeingStored = Map.of();

    /** Sequence number of an ended run within an incarnation of its worker. */
    private record NewestEnd(long incarnation, long sequence) {}

    /**
     * Creates the owner.
     *
     * @param settings the settings
     * @param epoch epoch of the ownership
     * @param log receives each decision
     * @param claimSentMs time in ms at which the claim was sent
     * @param nowMs present time in ms
     */
    public CellOwner(OwnerSettings settings, long epoch, DecisionLog log, long claimSentMs, long nowMs) {
        this.state = new CellState(settings, log);
        this.epoch = epoch;
        this.runTracker = new RunTracker(state);
        this.unreachedLeases = new UnreachedLeases(state, epoch, nowMs);
        this.leaseRenewer = new LeaseRenewer(state, runTracker, unreachedLeases);
        this.scheduler = new Scheduler(state, runTracker);
        this.stallDetector = new StallDetector(state, runTracker);
        this.standingJobs = new StandingJobs(state, scheduler);
        this.retention = new JobRetention(state);
        this.load = new OwnerLoad(state, standingJobs, nowMs);
        this.ownedSinceMs = nowMs;
        this.lastAppendMs = nowMs;
        this.state.lastStoredMs = claimSentMs;
        this.lastLearnedRecordMs = nowMs;
    }

    /**
     * Loads the stored state of the cell. Resulting effects are returned with those of the first input.
     *
     * @param records the newest record of each key, in order of their offsets
     * @param predecessor the previous owner; empty if it is not certain
     * @param nowMs present time in ms
     */
    public void load(List<CellRecord> records, Optional<Predecessor> predecessor, long nowMs) {
        predecessor.ifPresent(unreachedLeases::follow);
        records.forEach(record -> {
            if (record instanceof CellRecord.Accepted accepted) {
                state.accept(new JobState(accepted.submission()));
            }
        });
        for (CellRecord record : records) {
            if (record instanceof CellRecord.Progress progress) {
                restore(progress, nowMs);
            } else if (record instanceof CellRecord.LearnedRunTimes learned) {
                restore(learned, nowMs);
            } else if (record instanceof CellRecord.UnreachedWorkers unreached) {
                unreachedLeases.inherit(
                        unreached, predecessor.map(Predecessor::epoch).orElse(Long.MAX_VALUE));
            }
        }
        for (CellRecord record : records) {
            if (record instanceof CellRecord.CancelRequested request) {
                cancel(request, nowMs);
            }
        }
        state.log.line("cell-loaded", "epoch", epoch, "jobs", state.jobs.size(), "open", state.openJobs.size());
    }

    /**
     * Processes one input.
     *
     * @param input the input
     * @param nowMs present time in ms; must not decrease between calls
     * @return effects to carry out, in order
     */
    public List<OwnerEffect> handle(OwnerInput input, long nowMs) {
        passPending |= mayAllowStart(input, nowMs);
        recordsPending |= input instanceof OwnerInput.RecordsRead;
        if (input instanceof OwnerInput.RecordsRead read) {
            read.records().forEach(record -> recordRead(record, nowMs));
        } else if (input instanceof OwnerInput.Appended) {
            load.appendStored(nowMs);
            appendStored(nowMs);
        } else if (input instanceof OwnerInput.Tick) {
            tick(nowMs);
        } else if (input instanceof OwnerInput.Suspended) {
            appendSentMs = CellState.NEVER_MS;
            state.forbidOrders();
        } else if (input instanceof OwnerInput.WorkersPending list) {
            workersPending = list.pending();
        } else if (input instanceof OwnerInput.GuaranteesChanged changed) {
            state.guarantees = changed.guarantees();
        } else if (input instanceof OwnerInput.DrainsRead drains) {
            state.drainedWorkers.read(drains.drainedDataCentres(), drains.readMs());
        } else {
            workerInput(input, nowMs);
        }
        if (!appendPending) {
            boolean passDue = recordsPending || passIncomplete || nowMs - lastPassMs >= MIN_PASS_INTERVAL_MS;
            if (passPending && passDue && fleetKnown(nowMs)) {
                recordsPending = false;
                lastPassMs = nowMs;
                passIncomplete = !scheduler.schedule(nowMs);
                passPending = passIncomplete;
            }
            append(nowMs);
        }
        leaseRenewer.sendDueRenewals(nowMs);
        List<OwnerEffect> effects = state.effects;
        state.effects = new ArrayList<>();
        return effects;
    }

    /**
     * Returns what has to be stored with the release of the cell. The owner must not handle any input afterwards.
     *
     * @param nowMs present time in ms
     * @return the records
     */
    public List<CellRecord> releaseRecords(long nowMs) {
        return unreachedLeases.recordOfRelease(nowMs).stream().toList();
    }

    /**
     * Returns whether a start order may still be sent. Call right before it is sent, as it may have waited for a
     * connection.
     *
     * @param start the order
     * @param nowMs present time in ms
     * @return false if another node may have claimed the cell, or the worker has changed
     */
    public boolean mayStillSend(OwnerEffect.Start start, long nowMs) {
        return state.mayOrderStarts(nowMs)
                && findWorker(start.worker())
                        .map(worker -> worker.runs.get(start.run()))
                        .filter(run -> run.worker.accepts(run, nowMs))
                        .isPresent();
    }

    /**
     * Returns the number of runs that hold capacity of a worker.
     *
     * @return the number
     */
    public int activeRuns() {
        return state.workers.values().stream()
                .mapToInt(worker -> worker.runs.size())
                .sum();
    }

    /**
     * Returns the number of jobs that have not ended, or have ended while tasks are still assigned.
     *
     * @return the number
     */
    public int openJobs() {
        return state.openJobs.size();
    }

    /**
     * Returns whether the workers that have answered suffice to schedule. A new owner that placed work on the first few
     * would preempt runs although other workers are idle, and would repeat the pass for each further answer.
     */
    private boolean fleetKnown(long nowMs) {
        if (!fleetKnown) {
            long listed = state.workers.values().stream()
                    .filter(worker -> worker.listed)
                    .count();
            long answered = state.workers.values().stream()
                    .filter(worker -> worker.listed && worker.contacted)
                    .count();
            boolean enoughAnswered = !workersPending && answered >= MIN_ANSWERED_SHARE * listed;
            fleetKnown = listed > 0 && (enoughAnswered || nowMs - ownedSinceMs >= MAX_FLEET_WAIT_MS);
        }
        return fleetKnown;
    }

    /**
     * Returns whether an input may allow a start. Most renewals only report progress, a listed worker gets no work
     * before it has answered, and ticks schedule anyway.
     */
    private boolean mayAllowStart(OwnerInput input, long nowMs) {
        if (!(input instanceof OwnerInput.Renewed renewed)) {
            return !(input instanceof OwnerInput.RenewalFailed
                    || input instanceof OwnerInput.WorkerListed
                    || input instanceof OwnerInput.WorkerUnlisted);
        }
        WorkerState worker = state.workers.get(renewed.worker());
        return worker != null
                && worker.registration != null
                && (!worker.usable(nowMs)
                        || !renewed.report().ended().isEmpty()
                        || renewed.report().running().size() != worker.runs.size());
    }

    private void workerInput(OwnerInput input, long nowMs) {
        if (input instanceof OwnerInput.WorkerListed listed) {
            workerListed(listed.registration(), nowMs);
        } else if (input instanceof OwnerInput.WorkerUnlisted unlisted) {
            workerUnlisted(unlisted.worker(), nowMs);
        } else if (input instanceof OwnerInput.Renewed renewed) {
            findWorker(renewed.worker())
                    .ifPresent(
                            worker -> leaseRenewer.renewalAnswered(worker, renewed.sentMs(), renewed.report(), nowMs));
        } else if (input instanceof OwnerInput.RenewalFailed failed) {
            if (failed.fenced()) {
                state.effects.add(new OwnerEffect.StepDown("worker " + failed.worker() + " knows a higher epoch"));
                return;
            }
            findWorker(failed.worker())
                    .ifPresent(worker -> leaseRenewer.renewalFailed(worker, failed.sentMs(), failed.problem(), nowMs));
        } else if (input instanceof OwnerInput.StartAnswered answered) {
            findWorker(answered.worker())
                    .ifPresent(worker -> runTracker.startAnswered(worker, answered.run(), answered.outcome(), nowMs));
        } else if (input instanceof OwnerInput.StopAnswered answered) {
            findWorker(answered.worker())
                    .ifPresent(worker -> runTracker.stopAnswered(worker, answered.run(), answered.accepted(), nowMs));
        }
    }

    private Optional<WorkerState> findWorker(WorkerId id) {
        return Optional.ofNullable(state.workers.get(id));
    }

    private void workerListed(WorkerRegistration registration, long nowMs) {
        WorkerState worker = state.worker(registration.id(), nowMs);
        boolean changed = !worker.listed
                || worker.registration.leaving() != registration.leaving()
                || worker.registration.incarnation() != registration.incarnation();
        worker.registration = registration;
        worker.listed = true;
        state.drainedWorkers.registered(worker);
        leaseRenewer.registered(worker, nowMs);
        if (changed) {
            state.log.line(
                    "worker-listed",
                    "worker",
                    registration.id(),
                    "leaving",
                    registration.leaving(),
                    "leavesInMs",
                    registration.leavesInMs().orElse(-1),
                    "incarnation",
                    registration.incarnation(),
                    "answeredIncarnation",
                    worker.incarnation,
                    "dataCentre",
                    registration.dataCentre(),
                    "rack",
                    registration.rack(),
                    "accelerators",
                    registration.capacity().accelerators(),
                    "runs",
                    worker.runs.size());
        }
    }

    /**
     * Stops placing work on a worker that left the list. Its runs are kept until their ends are reported or its lease
     * has expired: an entry also expires while the worker cannot reach the platform, and the worker then runs on.
     */
    private void workerUnlisted(WorkerId id, long nowMs) {
        findWorker(id).ifPresent(worker -> {
            worker.listed = false;
            state.log.line(
                    "worker-unlisted",
                    "worker",
                    id,
                    "runs",
                    worker.runs.size(),
                    "leaving",
                    worker.registration != null && worker.registration.leaving(),
                    "silentMs",
                    worker.silentMs(nowMs),
                    "leaseLeftMs",
                    worker.leaseLeftText(nowMs));
        });
    }

    private void recordRead(CellRecord record, long nowMs) {
        if (record instanceof CellRecord.Accepted accepted) {
            state.accept(new JobState(accepted.submission()));
            Optional.ofNullable(
                            state.earlyCancellations.get(accepted.submission().id()))
                    .ifPresent(early -> cancel(early.request(), nowMs));
        } else if (record instanceof CellRecord.CancelRequested request) {
            cancel(request, nowMs);
        } else if (record instanceof CellRecord.Owner owner && owner.epoch() > epoch) {
            state.effects.add(new OwnerEffect.StepDown("node " + owner.node() + " owns epoch " + owner.epoch()));
        }
    }

    /** Cancels a job, or keeps the request for a job whose acceptance is stored later. */
    private void cancel(CellRecord.CancelRequested request, long nowMs) {
        JobState job = state.jobs.get(request.job());
        if (job == null || !request.appliesTo(Optional.of(job.submission().workspace()))) {
            state.earlyCancellations.put(request.job(), new CellState.EarlyCancellation(request, nowMs));
            return;
        }
        state.earlyCancellations.remove(request.job());
        if (!state.cancelled.add(request.job()) || job.phase().ended()) {
            return;
        }
        state.endJob(job, JobPhase.CANCELLED, nowMs);
        runTracker.stopAll(job, "cancelled", nowMs);
        state.closeIfDone(job);
    }

    private void restore(CellRecord.Progress progress, long nowMs) {
        JobState job = state.jobs.get(progress.job());
        if (job == null) {
            state.log.line("progress-without-job", "request", progress.job());
            return;
        }
        job.restore(progress.phase(), progress.endedAtMs());
        for (int step = 0; step < progress.steps().size(); step++) {
            List<CellRecord.TaskProgress> tasks = progress.steps().get(step);
            for (int index = 0; index < tasks.size(); index++) {
                restoreTask(job, new TaskRef(progress.job(), step, index), tasks.get(index), nowMs);
            }
        }
        if (job.phase().ended()) {
            runTracker.stopAll(job, "job-ended", nowMs);
        }
        state.closeIfDone(job);
    }

    private void restore(CellRecord.LearnedRunTimes learned, long nowMs) {
        state.predictor.restore(learned.queueErrors());
        state.predictor.model().restore(learned.runTimes());
        learned.logSpeeds()
                .forEach((id, speed) -> state.worker(id, nowMs).health.restoreLogSpeed(speed));
    }

    private CellRecord.LearnedRunTimes learnedRunTimes() {
        Map<WorkerId, Double> speeds = new TreeMap<>();
        state.workers
                .values()
                .forEach(
                        worker -> speeds.put(worker.id, worker.health.logSpeed().mean()));
        return new CellRecord.LearnedRunTimes(
                speeds, state.predictor.queueErrors(), state.predictor.model().groupsToStore());
    }

    private void restoreTask(JobState job, TaskRef ref, CellRecord.TaskProgress stored, long nowMs) {
        TaskState task = job.task(ref);
        if (task == null) {
            return;
        }
        task.restore(
                stored.phase(),
                stored.run(),
                stored.failures(),
                stored.lastFailedRun(),
                stored.worker(),
                stored.checkpoint());
        if (stored.phase() != TaskPhase.ASSIGNED || stored.worker().isEmpty()) {
            return;
        }
        WorkerState worker = state.worker(stored.worker().get(), nowMs);
        ActiveRun run = new ActiveRun(new TaskRun(ref, stored.run()), job, worker, ActiveRun.Stage.ORDERED);
        // The first renewal under this epoch fences off the earlier owner's orders, so the run cannot start after it.
        run.absenceConclusiveAfterMs = nowMs - 1;
        run.inherited = true;
        worker.add(run);
    }

    private void tick(long nowMs) {
        if (pendingRemovals.isEmpty()) {
            pendingRemovals = retention.removalsDue(nowMs);
        }
        leaseRenewer.expireLeases(nowMs);
        stallDetector.check(nowMs);
        for (WorkerState worker : state.workers.values()) {
            runTracker.retryStops(worker, nowMs);
            if (worker.contacted) {
                runTracker.barUnansweredStarts(worker, nowMs);
            }
        }
        standingJobs.check(fleetKnown, load.appendAgeMs(nowMs), nowMs);
        load.tick(nowMs);
        state.runTimes.tick(nowMs);
    }

    private void appendStored(long nowMs) {
        appendPending = false;
        lastAppendMs = nowMs;
        state.lastStoredMs = appendSentMs;
        state.term.appendStored(appendSentMs, nowMs);
        unreachedLeases.appendStored(nowMs);
        endsStored(nowMs);
        List<ActiveRun> starts = startsBeingStored;
        startsBeingStored = List.of();
        if (starts.isEmpty() || state.mayOrderStarts(nowMs)) {
            starts.forEach(run -> runTracker.assignmentStored(run, nowMs));
            return;
        }
        state.log.line(
                "starts-deferred", "epoch", epoch, "runs", starts.size(), "confirmationAgeMs", nowMs - appendSentMs);
        state.pendingStarts.addAll(0, starts);
    }

    private void endsStored(long nowMs) {
        endsBeingStored.forEach((id, end) -> findWorker(id).ifPresent(worker -> {
            if (end.incarnation() == worker.incarnation && end.sequence() > worker.acknowledgedSequence) {
                worker.acknowledgedSequence = end.sequence();
                worker.nextRenewalMs = nowMs;
            }
        }));
    }

    private void append(long nowMs) {
        boolean heartbeatDue = nowMs - lastAppendMs >= state.settings.heartbeatMs()
                || !state.mayGrantLeases(nowMs)
                || !state.pendingStarts.isEmpty() && state.drainedWorkers.known(nowMs);
        if (heartbeatDue || !state.changedJobs.isEmpty()) {
            state.changedJobs.addAll(state.begunJobs);
            state.begunJobs.clear();
        }
        List<CellRecord> records = new ArrayList<>();
        state.changedJobs.forEach(job -> records.add(CellState.progressRecord(job)));
        state.changedJobs.clear();
        records.addAll(pendingRemovals);
        pendingRemovals = List.of();
        if (!records.isEmpty() && nowMs - lastLearnedRecordMs >= LEARNED_RECORD_MS) {
            lastLearnedRecordMs = nowMs;
            records.add(learnedRunTimes());
        }
        Optional<CellRecord> unreachedWorkers = unreachedLeases.recordToStore(nowMs);
        boolean heartbeat = records.isEmpty() && (heartbeatDue || unreachedWorkers.isPresent());
        if (heartbeat || !records.isEmpty() && state.term.announcementDue()) {
            state.term.announced(nowMs);
            records.add(new CellRecord.Owner(state.settings.node(), epoch, false, state.term.wantedMs()));
        }
        unreachedWorkers.ifPresent(records::add);
        endsBeingStored = new TreeMap<>();
        boolean unstoredEnds = false;
        for (WorkerState worker : state.workers.values()) {
            if (worker.seenSequence > worker.acknowledgedSequence) {
                endsBeingStored.put(worker.id, new NewestEnd(worker.incarnation, worker.seenSequence));
                unstoredEnds = true;
            }
        }
        if (records.isEmpty()) {
            if (unstoredEnds) {
                // Ends that changed no job need no record.
                endsStored(nowMs);
            }
            return;
        }
        startsBeingStored = List.copyOf(state.pendingStarts);
        state.pendingStarts.clear();
        appendPending = true;
        appendSentMs = nowMs;
        load.appendSent(nowMs);
        state.effects.add(new OwnerEffect.Append(records));
    }
}
