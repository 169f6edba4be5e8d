package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.ProtocolFeature;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.record.AttemptEnd;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.worker.TaskReport;
import org.fuchsiawinch.protocol.worker.TaskState;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;

/**
 * Driver of attempts through preparation, release, stop and end. No part runs before all parts are prepared and the
 * release record is read back from the log. Not thread-safe.
 */
final class AttemptDriver {

    /** A tenth of a core, 64 MiB of memory, no accelerator, one slot and one connection. */
    private static final Resources PROBE_RESOURCES = new Resources(100, 64, 0, 1, 1);

    private static final long PREPARE_INTERVAL_MS = 500;
    private static final String PROBE_PREFIX = "probe:";

    private final NodeSettings settings;
    private final NodeOutput output;
    private final SchedulerEventHandler scheduler;
    private final LeaseGranter leases;
    private final Map<AttemptId, AttemptView> attempts = new LinkedHashMap<>();
    /**
     * Unix time in ms from which the parts of an ended attempt may be deleted from their workers. Earlier, a delayed
     * prepare command could make a worker accept a deleted part again.
     */
    private final Map<AttemptId, Long> forgetAtMs = new HashMap<>();

    private final Map<TaskId, ReportedTask> inventory = new HashMap<>();
    private final Map<WorkerId, TaskId> probes = new HashMap<>();
    private int probeCount;
    private long epoch;

    AttemptDriver(NodeSettings settings, NodeOutput output, SchedulerEventHandler scheduler, LeaseGranter leases) {
        this.settings = settings;
        this.output = output;
        this.scheduler = scheduler;
        this.leases = leases;
    }

    void beginEpoch(long newEpoch) {
        epoch = newEpoch;
    }

    void clear() {
        attempts.clear();
        forgetAtMs.clear();
        inventory.clear();
        probes.clear();
    }

    /** Takes over an attempt of an earlier owner in the state that the log and the worker inventory show. */
    void recover(JobEntry job, long nowMs) {
        boolean released = job.status() == JobStatus.RELEASED;
        AttemptView.Phase phase = released ? AttemptView.Phase.RUNNING : AttemptView.Phase.STOPPING;
        AttemptView attempt = new AttemptView(job.attempt(), job.spec(), job.placements(), phase);
        attempt.released(released);
        attempt.startByMs(nowMs);
        for (Placement placement : job.placements()) {
            ReportedTask found = inventory.get(new TaskId(job.attempt(), placement.part()));
            if (found != null && found.worker().equals(placement.worker())) {
                attempt.report(found.report());
            }
        }
        attempts.put(attempt.id(), attempt);
    }

    /**
     * Drops all attempts that were not recovered, and the inventory. Parts of dropped attempts are stopped when they
     * are next reported.
     */
    void retainRecovered(Set<AttemptId> recovered) {
        attempts.keySet().retainAll(recovered);
        inventory.clear();
    }

    void start(AttemptId id, JobSpec job, List<Placement> placements) {
        attempts.put(id, new AttemptView(id, job, placements, AttemptView.Phase.PLACING));
    }

    /**
     * Prepares an attempt whose placement record was read back. Withdraws it instead if a stop was requested or a
     * worker no longer accepts new work.
     *
     * @param id the attempt
     * @param payload input data of the job
     * @param workersAcceptWork whether all its workers still accept new work
     * @param nowMs current Unix time in ms
     */
    void placementReadBack(AttemptId id, byte[] payload, boolean workersAcceptWork, long nowMs) {
        AttemptView attempt = attempts.get(id);
        if (attempt == null) {
            return;
        }
        attempt.startByMs(nowMs + settings.startTimeoutMs());
        if (!workersAcceptWork || attempt.phase() == AttemptView.Phase.STOPPING) {
            attempt.phase(AttemptView.Phase.STOPPING);
            attempt.placements().forEach(placement -> attempt.markGone(placement.part()));
            advance(attempt, nowMs);
            return;
        }
        attempt.payload(payload);
        attempt.phase(AttemptView.Phase.PREPARING);
        prepare(attempt, nowMs);
    }

    /**
     * Sends prepare commands for the parts that no worker has reported yet. Retries are safe, as workers accept a part
     * only once.
     */
    private void prepare(AttemptView attempt, long nowMs) {
        boolean pastStartBy = nowMs > attempt.startByMs();
        boolean anyEnded = attempt.placements().stream().anyMatch(placement -> attempt.ended(placement.part()));
        if (pastStartBy || anyEnded || !leases.canGrant(nowMs) || !attempt.prepareDue(nowMs, PREPARE_INTERVAL_MS)) {
            return;
        }
        for (Placement placement : attempt.placements()) {
            if (attempt.report(placement.part()).isEmpty()) {
                send(placement.worker(), prepareCommand(attempt, placement.part(), nowMs));
            }
        }
    }

    private WorkerCommand prepareCommand(AttemptView attempt, int part, long nowMs) {
        return new WorkerCommand.Prepare(
                settings.cell(),
                epoch,
                new TaskId(attempt.id(), part),
                attempt.job().shape().perPart(),
                attempt.job().kind(),
                attempt.payload(),
                attempt.startByMs(),
                leases.leaseEndMs(nowMs));
    }

    void placementVoid(AttemptId id, long nowMs) {
        if (attempts.remove(id) != null) {
            scheduler.handle(new SchedulerEvent.AttemptWithdrawn(id), nowMs);
        }
    }

    void releaseReadBack(AttemptId id, long nowMs) {
        AttemptView attempt = attempts.get(id);
        if (attempt == null) {
            return;
        }
        attempt.released(true);
        attempt.releasePending(false);
        if (attempt.phase() == AttemptView.Phase.RELEASING) {
            attempt.phase(AttemptView.Phase.RUNNING);
        }
        advance(attempt, nowMs);
    }

    void endReadBack(AttemptId id, AttemptEnd end, long nowMs) {
        if (attempts.remove(id) == null) {
            return;
        }
        forgetAtMs.put(id, nowMs + settings.startTimeoutMs() + settings.clockDriftMs());
        SchedulerEvent event = end == AttemptEnd.NOT_RELEASED
                ? new SchedulerEvent.AttemptWithdrawn(id)
                : new SchedulerEvent.AttemptStopped(id, end == AttemptEnd.CHECKPOINTED);
        scheduler.handle(event, nowMs);
    }

    void outcomeReadBack(JobId job, boolean completed, long nowMs) {
        Optional<AttemptView> found = attempts.values().stream()
                .filter(attempt -> attempt.id().job().equals(job))
                .findFirst();
        if (found.isEmpty()) {
            return;
        }
        AttemptView attempt = found.get();
        attempts.remove(attempt.id());
        forgetAtMs.put(attempt.id(), nowMs + settings.startTimeoutMs() + settings.clockDriftMs());
        if (attempt.stopRequested() || !completed) {
            // the first cancellation makes the stop final, the second ends the job if the stop has queued it again
            scheduler.handle(new SchedulerEvent.JobCancelled(job), nowMs);
            scheduler.handle(new SchedulerEvent.AttemptStopped(attempt.id(), false), nowMs);
            scheduler.handle(new SchedulerEvent.JobCancelled(job), nowMs);
            return;
        }
        attempt.placements().forEach(placement -> notifyCompleted(attempt, placement.part(), nowMs));
    }

    void stop(AttemptId id, StopMode mode, long nowMs) {
        AttemptView attempt = attempts.get(id);
        if (attempt == null) {
            return;
        }
        if (attempt.phase() == AttemptView.Phase.ENDING) {
            attempt.recordLateStop();
            return;
        }
        attempt.stop(mode);
        // 0 until the placement is read back, which then advances the attempt
        if (attempt.startByMs() > 0) {
            advance(attempt, nowMs);
        }
    }

    void markWorkerLost(WorkerId worker) {
        for (AttemptView attempt : attempts.values()) {
            attempt.placements().stream()
                    .filter(placement -> placement.worker().equals(worker))
                    .forEach(placement -> attempt.markGone(placement.part()));
        }
    }

    /**
     * Reports the parts on a worker that has been silent for longer than a lease as failed, if they belong to a running
     * gang, so that the scheduler stops the rest of the gang.
     */
    void failGangPartsOn(WorkerId worker, long nowMs) {
        for (AttemptView attempt : List.copyOf(attempts.values())) {
            if (attempt.phase() != AttemptView.Phase.RUNNING || !attempt.isGang()) {
                continue;
            }
            for (Placement placement : attempt.placements()) {
                if (placement.worker().equals(worker) && !attempt.ended(placement.part())) {
                    notifyFailed(attempt, placement.part(), TaskFailure.WORKER_LOST, nowMs);
                }
            }
        }
    }

    /** Returns the workers that hold, or may hold, a part that has not ended. */
    Set<WorkerId> workersInUse() {
        Set<WorkerId> workers = new TreeSet<>();
        for (AttemptView attempt : attempts.values()) {
            attempt.placements().stream()
                    .filter(placement -> !attempt.ended(placement.part()))
                    .forEach(placement -> workers.add(placement.worker()));
        }
        return workers;
    }

    /** Returns whether an attempt of the job is under way. */
    boolean hasAttemptOf(JobId job) {
        return attempts.keySet().stream().anyMatch(attempt -> attempt.job().equals(job));
    }

    /** Returns whether an attempt with a part on the worker has not ended yet. */
    boolean hasPartOn(WorkerId worker) {
        return attempts.values().stream().anyMatch(attempt -> attempt.hasPartOn(worker));
    }

    void probe(WorkerId worker, long nowMs) {
        if (!leases.canGrant(nowMs)) {
            return;
        }
        probeCount++;
        JobId job = new JobId(PROBE_PREFIX + worker + ":" + epoch);
        TaskId task = new TaskId(new AttemptId(job, probeCount), 0);
        probes.put(worker, task);
        long startByMs = nowMs + settings.startTimeoutMs();
        send(
                worker,
                new WorkerCommand.Prepare(
                        settings.cell(),
                        epoch,
                        task,
                        PROBE_RESOURCES,
                        "probe",
                        new byte[0],
                        startByMs,
                        leases.leaseEndMs(nowMs)));
    }

    /**
     * Handles a worker's reports of its parts. Before the owner is active, they are only added to the inventory.
     *
     * @return false if the worker holds a part that has not ended and belongs to no known attempt
     */
    boolean handleReports(WorkerId worker, WorkerReply reply, boolean active, long nowMs) {
        if (!active) {
            reply.tasks().forEach(report -> inventory.put(report.task(), new ReportedTask(worker, report)));
            return true;
        }
        boolean onlyKnownParts = true;
        Set<TaskId> present = new HashSet<>();
        for (TaskReport report : reply.tasks()) {
            present.add(report.task());
            onlyKnownParts &= handleReport(worker, report, nowMs);
        }
        markMissingParts(worker, present, reply.answeredMs());
        return onlyKnownParts;
    }

    void advanceAll(long nowMs) {
        for (AttemptView attempt : new ArrayList<>(attempts.values())) {
            if (attempts.containsKey(attempt.id())) {
                advance(attempt, nowMs);
            }
        }
    }

    private boolean handleReport(WorkerId worker, TaskReport report, long nowMs) {
        if (report.task().attempt().job().value().startsWith(PROBE_PREFIX)) {
            handleProbeReport(worker, report, nowMs);
            return true;
        }
        AttemptView attempt = attempts.get(report.task().attempt());
        if (attempt != null && attempt.isPlacedOn(report.task().part(), worker)) {
            attempt.report(report);
            return true;
        }
        if (!report.state().ended()) {
            send(worker, new WorkerCommand.Stop(settings.cell(), epoch, report.task(), StopMode.STOP));
            return false;
        }
        if (nowMs >= forgetAtMs.getOrDefault(report.task().attempt(), 0L)) {
            forgetAtMs.remove(report.task().attempt());
            send(worker, new WorkerCommand.Forget(settings.cell(), epoch, report.task()));
        }
        return true;
    }

    private void handleProbeReport(WorkerId worker, TaskReport report, long nowMs) {
        boolean current = report.task().equals(probes.get(worker));
        if (report.state() == TaskState.PREPARED && current && leases.canGrant(nowMs)) {
            send(worker, new WorkerCommand.Release(settings.cell(), epoch, report.task(), leases.leaseEndMs(nowMs)));
            return;
        }
        if (!report.state().ended()) {
            return;
        }
        send(worker, new WorkerCommand.Forget(settings.cell(), epoch, report.task()));
        if (current) {
            probes.remove(worker);
            boolean healthy = report.state() == TaskState.COMPLETED;
            scheduler.handle(new SchedulerEvent.ProbeEnded(worker, healthy), nowMs);
        }
    }

    /**
     * Marks the parts as gone that a worker does not hold and can no longer accept, as its own clock is past the
     * start-by time.
     */
    private void markMissingParts(WorkerId worker, Set<TaskId> present, long answeredMs) {
        for (AttemptView attempt : attempts.values()) {
            boolean pastStartBy = attempt.startByMs() > 0 && answeredMs > attempt.startByMs();
            boolean placed = attempt.phase() != AttemptView.Phase.PLACING;
            if (!placed || !pastStartBy) {
                continue;
            }
            for (Placement placement : attempt.placements()) {
                if (placement.worker().equals(worker)
                        && !present.contains(new TaskId(attempt.id(), placement.part()))) {
                    attempt.markGone(placement.part());
                }
            }
        }
    }

    private void advance(AttemptView attempt, long nowMs) {
        switch (attempt.phase()) {
            case PREPARING -> advancePreparing(attempt, nowMs);
            case RUNNING -> advanceRunning(attempt, nowMs);
            case STOPPING -> advanceStopping(attempt, nowMs);
            default -> {
                // waits for its record to be read back
            }
        }
    }

    private void advancePreparing(AttemptView attempt, long nowMs) {
        if (!settings.features().contains(ProtocolFeature.GANG_TRIAL)) {
            releasePrepared(attempt, nowMs);
        }
        prepare(attempt, nowMs);
        if (attempt.allAccepted()) {
            attempt.releasePending(true);
            attempt.phase(AttemptView.Phase.RELEASING);
            output.append(new LogRecord.AttemptReleased(settings.cell(), epoch, attempt.id()), nowMs);
            return;
        }
        boolean pastStartBy = nowMs > attempt.startByMs();
        for (Placement placement : attempt.placements()) {
            boolean prepared = attempt.report(placement.part()).isPresent();
            if (attempt.ended(placement.part())) {
                notifyFailed(attempt, placement.part(), TaskFailure.START_REFUSED, nowMs);
            } else if (pastStartBy && !prepared) {
                notifyFailed(attempt, placement.part(), TaskFailure.START_TIMEOUT, nowMs);
            }
        }
    }

    private void advanceRunning(AttemptView attempt, long nowMs) {
        releasePrepared(attempt, nowMs);
        if (attempt.allReleased() && attempt.markRunningNotified()) {
            scheduler.handle(new SchedulerEvent.AttemptRunning(attempt.id()), nowMs);
        }
        attempt.placements().forEach(placement -> notifyIfEnded(attempt, placement.part(), nowMs));
        if (attempt.phase() == AttemptView.Phase.RUNNING && attempt.allInState(TaskState.COMPLETED)) {
            complete(attempt, nowMs);
        }
    }

    private void releasePrepared(AttemptView attempt, long nowMs) {
        if (!leases.canGrant(nowMs)) {
            return;
        }
        for (Placement placement : attempt.placements()) {
            Optional<TaskReport> report = attempt.report(placement.part());
            boolean prepared =
                    report.filter(part -> part.state() == TaskState.PREPARED).isPresent();
            if (prepared && !attempt.ended(placement.part())) {
                send(
                        placement.worker(),
                        new WorkerCommand.Release(
                                settings.cell(),
                                epoch,
                                new TaskId(attempt.id(), placement.part()),
                                leases.leaseEndMs(nowMs)));
            }
        }
    }

    private void advanceStopping(AttemptView attempt, long nowMs) {
        if (attempt.released() && attempt.allInState(TaskState.COMPLETED)) {
            complete(attempt, nowMs);
            return;
        }
        if (attempt.allEnded() && !attempt.releasePending()) {
            end(attempt, nowMs);
            return;
        }
        if (!attempt.stopDue(nowMs, settings.renewIntervalMs())) {
            return;
        }
        for (Placement placement : attempt.placements()) {
            if (!attempt.ended(placement.part())) {
                TaskId task = new TaskId(attempt.id(), placement.part());
                send(placement.worker(), new WorkerCommand.Stop(settings.cell(), epoch, task, attempt.stopMode()));
            }
        }
    }

    private void end(AttemptView attempt, long nowMs) {
        attempt.phase(AttemptView.Phase.ENDING);
        AttemptEnd end = endOf(attempt);
        if (end == AttemptEnd.STOPPED && !attempt.job().idempotent()) {
            JobOutcome broken = new JobOutcome.Broken(ReasonCode.END_BROKEN_NOT_REPEATABLE.name());
            output.append(
                    new LogRecord.JobFinished(
                            settings.cell(), epoch, attempt.id().job(), broken),
                    nowMs);
            return;
        }
        output.append(new LogRecord.AttemptEnded(settings.cell(), epoch, attempt.id(), end), nowMs);
    }

    private static AttemptEnd endOf(AttemptView attempt) {
        if (!attempt.released()) {
            return AttemptEnd.NOT_RELEASED;
        }
        return attempt.allCheckpointed() ? AttemptEnd.CHECKPOINTED : AttemptEnd.STOPPED;
    }

    private void complete(AttemptView attempt, long nowMs) {
        attempt.phase(AttemptView.Phase.ENDING);
        List<byte[]> parts = attempt.placements().stream()
                .map(placement -> attempt.report(placement.part())
                        .flatMap(TaskReport::answer)
                        .orElse(new byte[0]))
                .toList();
        output.append(
                new LogRecord.JobFinished(settings.cell(), epoch, attempt.id().job(), Answers.join(parts)), nowMs);
    }

    private void notifyIfEnded(AttemptView attempt, int part, long nowMs) {
        if (attempt.phase() != AttemptView.Phase.RUNNING || !attempt.ended(part)) {
            return;
        }
        Optional<TaskReport> report = attempt.report(part);
        if (report.filter(ended -> ended.state() == TaskState.COMPLETED).isPresent()) {
            notifyCompleted(attempt, part, nowMs);
            return;
        }
        TaskFailure failure = report.flatMap(TaskReport::failure).orElse(TaskFailure.WORKER_LOST);
        notifyFailed(attempt, part, failure, nowMs);
    }

    private void notifyCompleted(AttemptView attempt, int part, long nowMs) {
        if (attempt.markNotified(part)) {
            scheduler.handle(new SchedulerEvent.TaskCompleted(new TaskId(attempt.id(), part)), nowMs);
        }
    }

    private void notifyFailed(AttemptView attempt, int part, TaskFailure failure, long nowMs) {
        if (attempt.markNotified(part)) {
            scheduler.handle(new SchedulerEvent.TaskFailed(new TaskId(attempt.id(), part), failure), nowMs);
        }
    }

    private void send(WorkerId worker, WorkerCommand command) {
        output.emit(new NodeEffect.Command(worker, command));
    }

    private record ReportedTask(WorkerId worker, TaskReport report) {}
}
