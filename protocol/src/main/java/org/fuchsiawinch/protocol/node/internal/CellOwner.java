package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.ProtocolFeature;
import org.fuchsiawinch.protocol.fold.CellEntry;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.fold.LogFold;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeEvent;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.worker.WorkerReply;

/**
 * Runner of a cell's scheduler while this node owns the cell: takes an inventory of the workers, turns decisions into
 * records, and turns records that were read back into worker commands. Not thread-safe.
 */
public final class CellOwner {

    private static final long SCHEDULER_TICK_MS = 1000;
    private static final int MAX_RECORDED_REASONS = 10_000;

    private enum Phase {
        /** This node does not own the cell. */
        IDLE,
        /** This node owns the cell and waits for replies of its workers. */
        INVENTORY,
        /** This node owns the cell and schedules it. */
        ACTIVE
    }

    private final NodeSettings settings;
    private final Supplier<Scheduler> schedulers;
    private final Supplier<LogFold> currentFold;
    private final NodeOutput output;
    private final LeaseGranter leases;
    private final AttemptDriver attempts;
    private final WorkerPool workers;
    private final Set<JobId> finishing = new HashSet<>();
    private final Deque<ReadRecord> queuedRecords = new ArrayDeque<>();
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final Map<JobId, Reason> reasons = new LinkedHashMap<>();
    private Phase phase = Phase.IDLE;
    private Scheduler scheduler;
    private long epoch;
    private long ownedSinceMs;
    private long schedulerTickMs;
    private boolean releasing;

    /**
     * Creates an instance that does not own the cell yet.
     *
     * @param settings the node's settings
     * @param schedulers creates a scheduler each time the cell is taken over
     * @param currentFold returns the node's current log state
     * @param output receives records and effects
     */
    public CellOwner(
            NodeSettings settings, Supplier<Scheduler> schedulers, Supplier<LogFold> currentFold, NodeOutput output) {
        this.settings = settings;
        this.schedulers = schedulers;
        this.currentFold = currentFold;
        this.output = output;
        this.leases = new LeaseGranter(settings);
        this.attempts = new AttemptDriver(settings, output, this::decide, leases);
        this.workers = new WorkerPool(settings, output, this::decide, attempts, leases);
    }

    /**
     * Returns whether this node owns and schedules the cell.
     *
     * @return true from the end of the inventory until the cell is lost or released
     */
    public boolean active() {
        return phase == Phase.ACTIVE;
    }

    /**
     * Starts the ownership and its inventory of workers after the node's claim was read back.
     *
     * @param cell state of the cell after the claim
     * @param nowMs current Unix time in ms
     */
    public void beginOwnership(CellEntry cell, long nowMs) {
        endOwnership();
        phase = Phase.INVENTORY;
        epoch = cell.epoch();
        ownedSinceMs = nowMs;
        leases.beginEpoch(cell.heldMs());
        attempts.beginEpoch(epoch);
        workers.beginEpoch(epoch, earlierLeasesEndMs(cell), nowMs);
    }

    /**
     * Extends the right to grant leases after a heartbeat record of this owner was read back.
     *
     * @param writtenMs Unix time in ms at which the record was written
     */
    public void heartbeatReadBack(long writtenMs) {
        leases.heartbeatReadBack(writtenMs);
    }

    /**
     * Starts to release the cell: no new work is started, and no lease is granted beyond one lease duration from now.
     *
     * @param nowMs current Unix time in ms
     */
    public void beginRelease(long nowMs) {
        releasing = true;
        leases.stopAfterOneLease(nowMs);
    }

    /**
     * Handles a pause of the process, after which what is known of the workers is stale.
     *
     * @param nowMs current Unix time in ms
     */
    public void resumedAfterPause(long nowMs) {
        workers.resumedAfterPause(nowMs);
    }

    /** Clears all state after the cell was lost or released. */
    public void endOwnership() {
        phase = Phase.IDLE;
        workers.clear();
        attempts.clear();
        finishing.clear();
        queuedRecords.clear();
        deadlines.clear();
        reasons.clear();
        scheduler = null;
    }

    /**
     * Handles a new version of the platform's list of workers.
     *
     * @param all all listed workers
     * @param leaving ids of the workers that are about to leave
     * @param nowMs current Unix time in ms
     */
    public void workersListed(List<WorkerSpec> all, List<WorkerId> leaving, long nowMs) {
        workers.updateList(all, leaving, phase != Phase.IDLE, nowMs);
    }

    /**
     * Handles a worker's reply. Replies to commands of other epochs are ignored. A reply with a higher fence ends the
     * right to grant leases.
     *
     * @param id the worker
     * @param commandEpoch epoch of the command
     * @param reply the reply
     * @param nowMs current Unix time in ms
     */
    public void workerReplied(WorkerId id, long commandEpoch, WorkerReply reply, long nowMs) {
        if (phase == Phase.IDLE || commandEpoch != epoch) {
            return;
        }
        if (reply.fence() > epoch && settings.features().contains(ProtocolFeature.FENCING)) {
            leases.fenced();
            return;
        }
        if (!workers.handleReply(id, reply, nowMs)) {
            return;
        }
        if (phase == Phase.INVENTORY) {
            activateWhenReady(nowMs);
            return;
        }
        attempts.advanceAll(nowMs);
    }

    /**
     * Queues a record of this cell that was read. It is acted on only once the log is read to its end, as a later claim
     * may follow it.
     *
     * @param record the record
     * @param valid whether the record took effect; void records are queued only if this node wrote them
     */
    public void recordRead(LogRecord record, boolean valid) {
        if (phase == Phase.ACTIVE) {
            queuedRecords.addLast(new ReadRecord(record, valid));
        }
    }

    /**
     * Acts on the queued records after the log was read to its end.
     *
     * @param nowMs current Unix time in ms
     */
    public void logEndReached(long nowMs) {
        while (!queuedRecords.isEmpty()) {
            ReadRecord next = queuedRecords.removeFirst();
            if (next.valid()) {
                recordApplied(next.record(), nowMs);
            } else {
                recordVoid(next.record(), nowMs);
            }
        }
    }

    /**
     * Acts on a record of this cell that took effect.
     *
     * @param record the record
     * @param nowMs current Unix time in ms
     */
    public void recordApplied(LogRecord record, long nowMs) {
        if (phase != Phase.ACTIVE) {
            return;
        }
        if (record instanceof LogRecord.JobAccepted accepted) {
            deadlines.add(accepted.job());
            decide(new SchedulerEvent.JobSubmitted(accepted.job()), nowMs);
        } else if (record instanceof LogRecord.JobCancelled cancelled) {
            decide(new SchedulerEvent.JobCancelled(cancelled.job()), nowMs);
        } else if (record instanceof LogRecord.AttemptPlaced placed) {
            boolean workersAcceptWork =
                    placed.placements().stream().allMatch(place -> workers.acceptsWork(place.worker(), nowMs));
            attempts.placementReadBack(
                    placed.attempt(), payload(placed.attempt().job()), workersAcceptWork, nowMs);
        } else if (record instanceof LogRecord.AttemptReleased released) {
            attempts.releaseReadBack(released.attempt(), nowMs);
        } else if (record instanceof LogRecord.AttemptEnded ended) {
            fold().job(ended.attempt().job()).map(JobEntry::spec).ifPresent(deadlines::add);
            attempts.endReadBack(ended.attempt(), ended.end(), nowMs);
        } else if (record instanceof LogRecord.JobFinished finished) {
            finishing.remove(finished.job());
            attempts.outcomeReadBack(finished.job(), finished.outcome() instanceof JobOutcome.Completed, nowMs);
        }
    }

    private void recordVoid(LogRecord record, long nowMs) {
        if (phase != Phase.ACTIVE) {
            return;
        }
        if (record instanceof LogRecord.AttemptPlaced placed) {
            attempts.placementVoid(placed.attempt(), nowMs);
            return;
        }
        if (!(record instanceof LogRecord.JobFinished finished)) {
            return;
        }
        finishing.remove(finished.job());
        if (finished.outcome() instanceof JobOutcome.NotRun notRun
                && fold().job(finished.job()).filter(JobEntry::everReleased).isPresent()) {
            finish(finished.job(), new JobOutcome.Broken(notRun.code()), nowMs);
        }
    }

    /**
     * Passes the policy of the document in force to the scheduler.
     *
     * @param nowMs current Unix time in ms
     */
    public void documentChanged(long nowMs) {
        if (phase != Phase.ACTIVE) {
            return;
        }
        fold().document()
                .inForce()
                .ifPresent(document -> decide(new SchedulerEvent.PolicyChanged(document.policy()), nowMs));
    }

    /**
     * Renews leases, detects silent workers, ends waiting jobs whose deadlines have passed and sends the scheduler its
     * periodic tick.
     *
     * @param nowMs current Unix time in ms
     */
    public void tick(long nowMs) {
        if (phase == Phase.IDLE) {
            return;
        }
        workers.renewLeases(nowMs);
        if (phase == Phase.INVENTORY) {
            activateWhenReady(nowMs);
            return;
        }
        workers.detectSilentWorkers(nowMs);
        workers.removeGone(nowMs);
        deadlines.removePassed(nowMs).forEach(job -> endIfWaiting(job, nowMs));
        attempts.advanceAll(nowMs);
        if (nowMs - schedulerTickMs >= SCHEDULER_TICK_MS) {
            schedulerTickMs = nowMs;
            decide(new SchedulerEvent.Tick(), nowMs);
        }
    }

    /**
     * Returns why a job waits.
     *
     * @param job the job
     * @param nowMs current Unix time in ms
     * @return the scheduler's reason, or empty if the job does not wait on this node
     */
    public Optional<Reason> waitReason(JobId job, long nowMs) {
        return scheduler == null ? Optional.empty() : scheduler.waitReason(job, nowMs);
    }

    /**
     * Returns the reason of the last decision on a job since the cell was taken over.
     *
     * @param job the job
     * @return the reason, or empty
     */
    public Optional<Reason> lastReason(JobId job) {
        return Optional.ofNullable(reasons.get(job));
    }

    private long earlierLeasesEndMs(CellEntry cell) {
        long grantedUntilMs = Math.max(cell.earlierHeldMs() + settings.renewHorizonMs(), cell.releasedMs());
        return grantedUntilMs + settings.leaseMs() + settings.clockDriftMs();
    }

    private void activateWhenReady(long nowMs) {
        boolean timedOut = nowMs - ownedSinceMs >= settings.inventoryTimeoutMs();
        if (timedOut || workers.allReachable()) {
            activate(nowMs);
        }
    }

    private void activate(long nowMs) {
        phase = Phase.ACTIVE;
        scheduler = schedulers.get();
        schedulerTickMs = nowMs;
        documentChanged(nowMs);
        int reachable = workers.activate(nowMs);
        recoverJobs(nowMs);
        output.emit(new NodeEffect.Report(
                new NodeEvent.CellActive(settings.cell(), epoch, reachable, workers.size() - reachable)));
    }

    private void recoverJobs(long nowMs) {
        List<JobEntry> waiting = new ArrayList<>();
        Set<AttemptId> recovered = new HashSet<>();
        for (JobEntry job : List.copyOf(fold().jobs())) {
            if (!job.cell().equals(settings.cell()) || job.status() == JobStatus.FINISHED) {
                continue;
            }
            deadlines.add(job.spec());
            if (job.status() == JobStatus.WAITING) {
                waiting.add(job);
                continue;
            }
            recovered.add(job.attempt());
            attempts.recover(job, nowMs);
            decide(
                    new SchedulerEvent.AttemptRecovered(job.spec(), job.attempt(), job.placements(), job.attemptMs()),
                    nowMs);
        }
        attempts.retainRecovered(recovered);
        for (JobEntry job : waiting) {
            decide(new SchedulerEvent.JobSubmitted(job.spec()), nowMs);
        }
        for (JobEntry job : List.copyOf(fold().jobs())) {
            if (job.cell().equals(settings.cell()) && job.cancelled() && job.status() != JobStatus.FINISHED) {
                decide(new SchedulerEvent.JobCancelled(job.spec().id()), nowMs);
            }
        }
        attempts.advanceAll(nowMs);
    }

    private LogFold fold() {
        return currentFold.get();
    }

    private byte[] payload(JobId job) {
        return fold().job(job).map(JobEntry::payload).orElse(new byte[0]);
    }

    private void decide(SchedulerEvent event, long nowMs) {
        if (phase != Phase.ACTIVE) {
            return;
        }
        for (Decision decision : scheduler.decide(event, nowMs)) {
            output.emit(new NodeEffect.Report(new NodeEvent.Decided(decision)));
            execute(decision, nowMs);
        }
    }

    private void recordReason(JobId job, Reason reason) {
        reasons.remove(job);
        reasons.put(job, reason);
        if (reasons.size() > MAX_RECORDED_REASONS) {
            reasons.remove(reasons.keySet().iterator().next());
        }
    }

    private void execute(Decision decision, long nowMs) {
        if (decision instanceof Decision.StartGang start) {
            recordReason(start.attempt().job(), start.reason());
            startGang(start, nowMs);
        } else if (decision instanceof Decision.StopGang stop) {
            recordReason(stop.attempt().job(), stop.reason());
            attempts.stop(stop.attempt(), stop.mode(), nowMs);
        } else if (decision instanceof Decision.EndJob end) {
            recordReason(end.job(), end.reason());
            String code = end.reason().code().name();
            boolean released =
                    fold().job(end.job()).filter(JobEntry::everReleased).isPresent();
            JobOutcome outcome = released
                    ? new JobOutcome.Broken(code)
                    : new JobOutcome.NotRun(code, end.reason().retryAfterMs());
            finish(end.job(), outcome, nowMs);
        } else if (decision instanceof Decision.ProbeWorker probe) {
            attempts.probe(probe.worker(), nowMs);
        }
    }

    private void startGang(Decision.StartGang start, long nowMs) {
        Optional<JobEntry> job = fold().job(start.attempt().job());
        if (job.isEmpty() || releasing) {
            return;
        }
        if (job.get().status() == JobStatus.FINISHED
                || finishing.contains(job.get().spec().id())) {
            decide(new SchedulerEvent.JobCancelled(start.attempt().job()), nowMs);
            decide(new SchedulerEvent.AttemptStopped(start.attempt(), false), nowMs);
            return;
        }
        if (deadlinePassed(job.get().spec(), nowMs)) {
            endIfWaiting(job.get().spec().id(), nowMs);
            decide(new SchedulerEvent.AttemptStopped(start.attempt(), false), nowMs);
            return;
        }
        if (!job.get().repeatable()) {
            finish(job.get().spec().id(), new JobOutcome.Broken(ReasonCode.END_BROKEN_NOT_REPEATABLE.name()), nowMs);
            return;
        }
        attempts.start(start.attempt(), job.get().spec(), start.placements());
        output.append(
                new LogRecord.AttemptPlaced(settings.cell(), epoch, start.attempt(), start.placements(), start.lent()),
                nowMs);
    }

    /** Ends a job that still waits when its deadline passes. An attempt under way may still finish. */
    private void endIfWaiting(JobId job, long nowMs) {
        Optional<JobEntry> entry = fold().job(job).filter(found -> found.status() == JobStatus.WAITING);
        if (entry.isEmpty() || attempts.hasAttemptOf(job)) {
            return;
        }
        String code = ReasonCode.END_DEADLINE.name();
        JobOutcome outcome = entry.get().everReleased()
                ? new JobOutcome.Broken(code)
                : new JobOutcome.NotRun(code, OptionalLong.empty());
        finish(job, outcome, nowMs);
        decide(new SchedulerEvent.JobCancelled(job), nowMs);
    }

    private static boolean deadlinePassed(JobSpec job, long nowMs) {
        return job.deadlineMs().isPresent() && job.deadlineMs().getAsLong() <= nowMs;
    }

    private void finish(JobId job, JobOutcome outcome, long nowMs) {
        boolean finished = fold().job(job)
                .filter(entry -> entry.status() == JobStatus.FINISHED)
                .isPresent();
        if (finished || !finishing.add(job)) {
            return;
        }
        output.append(new LogRecord.JobFinished(settings.cell(), epoch, job, outcome), nowMs);
    }

    /** A record that was read but not acted on yet. */
    private record ReadRecord(LogRecord record, boolean valid) {}
}
