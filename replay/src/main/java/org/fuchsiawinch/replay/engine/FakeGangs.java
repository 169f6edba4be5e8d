package org.fuchsiawinch.replay.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.history.PartEnd;
import org.fuchsiawinch.replay.trace.TraceJob;

/**
 * Simulates gangs on the fake workers. The parts of a gang are released together once all its workers are reachable,
 * and run at the speed of the slowest worker until a result, failure, loss or stop ends them. Not thread-safe.
 */
final class FakeGangs implements FakeWorkers.Listener {

    /** Time from the overrun of a worker's memory until the part with the largest excess is killed. */
    private static final long MEMORY_KILL_DELAY_MS = 1_000;
    /** Delay of the second delivery of a duplicated completion report. */
    private static final long DUPLICATE_REPORT_DELAY_MS = 5_000;
    /** One in this many completion reports is delivered twice. */
    private static final int DUPLICATE_REPORT_ONE_IN = 64;

    private final ReplayContext context;
    private final FakeWorkers workers;
    private final Consumer<JobId> onResult;
    private final Map<AttemptId, GangAttempt> attempts = new LinkedHashMap<>();
    private final Map<JobId, Double> savedProgressMs = new HashMap<>();
    private long checkpointBoundMs;

    FakeGangs(ReplayContext context, FakeWorkers workers, Consumer<JobId> onResult) {
        this.context = context;
        this.workers = workers;
        this.onResult = onResult;
        workers.setListener(this);
    }

    void setCheckpointBoundMs(long boundMs) {
        checkpointBoundMs = boundMs;
    }

    boolean hasActiveAttempt(JobId job) {
        return attempts.keySet().stream().anyMatch(id -> id.job().equals(job));
    }

    void start(TraceJob job, Decision.StartGang start) {
        context.record(
                new HistoryEvent.StartDecided(context.nowMs(), start.attempt(), start.placements(), start.lent()));
        GangAttempt attempt = new GangAttempt(start.attempt(), job, start.placements());
        attempts.put(attempt.id, attempt);
        attempt.placements.forEach(placement -> workers.worker(placement.worker()).attemptCount++);
        context.afterAppend(attempt.id, () -> context.clock()
                .scheduleAfter(
                        context.delayMs(ProtocolTimes.START_DELAY_MS, "start", attempt.id), () -> tryRelease(attempt)));
    }

    void stop(Decision.StopGang stop) {
        context.record(new HistoryEvent.StopDecided(
                context.nowMs(), stop.attempt(), stop.reason().code()));
        GangAttempt attempt = attempts.get(stop.attempt());
        long delayMs = context.delayMs(ProtocolTimes.STOP_DELAY_MS, "stop", stop.attempt());
        if (attempt == null) {
            context.clock()
                    .scheduleAfter(
                            delayMs,
                            () -> context.notifyScheduler(new SchedulerEvent.AttemptStopped(stop.attempt(), false)));
            return;
        }
        attempt.stopRequested = true;
        if (attempt.state == GangAttempt.State.STARTING) {
            attempt.state = GangAttempt.State.STOPPING;
        }
        context.clock().scheduleAfter(delayMs, () -> handleStop(attempt, stop.mode()));
    }

    @Override
    public void onWorkerStopped(WorkerId worker) {
        for (GangAttempt attempt : new ArrayList<>(attempts.values())) {
            boolean affected = false;
            for (int index = 0; index < attempt.parts.length; index++) {
                if (!attempt.placements.get(index).worker().equals(worker)) {
                    continue;
                }
                affected = true;
                losePart(attempt, index);
            }
            if (affected) {
                closeIfDone(attempt);
            }
        }
        workers.worker(worker).trueMemoryMb.clear();
    }

    @Override
    public void onWorkerReachable(WorkerId worker) {
        for (GangAttempt attempt : new ArrayList<>(attempts.values())) {
            if (attempt.state == GangAttempt.State.STOPPING) {
                stopParts(attempt);
            }
        }
    }

    private void losePart(GangAttempt attempt, int index) {
        if (attempt.parts[index] == GangAttempt.PartState.RUNNING) {
            attempt.broken = true;
            endPart(attempt, index, PartEnd.LOST);
        } else if (attempt.parts[index] == GangAttempt.PartState.UNREPORTED) {
            attempt.parts[index] = GangAttempt.PartState.ENDED;
        }
    }

    private void tryRelease(GangAttempt attempt) {
        if (attempt.state != GangAttempt.State.STARTING) {
            return;
        }
        boolean allReachable = attempt.placements.stream()
                .allMatch(placement -> workers.worker(placement.worker()).reachable());
        if (!allReachable) {
            context.clock().scheduleAfter(ProtocolTimes.RETRY_INTERVAL_MS, () -> tryRelease(attempt));
            return;
        }
        release(attempt);
    }

    private void release(GangAttempt attempt) {
        long nowMs = context.nowMs();
        attempt.state = GangAttempt.State.RUNNING;
        attempt.startedMs = nowMs;
        attempt.speed = attempt.placements.stream()
                .mapToDouble(
                        placement -> workers.worker(placement.worker()).spec.speed())
                .min()
                .orElse(1.0);
        for (int index = 0; index < attempt.parts.length; index++) {
            WorkerId worker = attempt.placements.get(index).worker();
            attempt.parts[index] = GangAttempt.PartState.RUNNING;
            workers.worker(worker).trueMemoryMb.put(attempt.task(index), attempt.job.trueMemoryMb());
            context.record(new HistoryEvent.PartStarted(nowMs, attempt.task(index), worker));
        }
        scheduleEnd(attempt);
        scheduleUsageReports(attempt);
        attempt.placements.forEach(placement -> checkMemoryOverrun(workers.worker(placement.worker())));
        context.notifyScheduler(new SchedulerEvent.AttemptRunning(attempt.id));
    }

    private void scheduleEnd(GangAttempt attempt) {
        double leftMs = attempt.job.trueRunMs() - savedProgressMs.getOrDefault(attempt.id.job(), 0.0);
        long durationMs = Math.max(1, Math.round(leftMs / attempt.speed));
        int generation = attempt.generation;
        context.clock().scheduleAfter(durationMs, () -> complete(attempt, generation));
        if (attempt.job.alwaysFails()) {
            context.clock().scheduleAfter(Math.min(durationMs - 1, ProtocolTimes.POISON_JOB_FAIL_DELAY_MS), () -> {
                fail(attempt, 0, TaskFailure.WORK_FAILED);
            });
        }
        for (int index = 0; index < attempt.parts.length; index++) {
            int failing = index;
            if (workers.worker(attempt.placements.get(index).worker()).faulty(context.nowMs())) {
                context.clock()
                        .scheduleAfter(
                                ProtocolTimes.FAULTY_WORKER_FAIL_DELAY_MS,
                                () -> fail(attempt, failing, TaskFailure.WORK_FAILED));
            }
        }
    }

    private void scheduleUsageReports(GangAttempt attempt) {
        Resources granted = attempt.job.spec().shape().perPart();
        Resources used = new Resources(
                granted.cpuMillis(),
                attempt.job.trueMemoryMb(),
                granted.accelerators(),
                granted.slots(),
                granted.connections());
        for (int index = 0; index < attempt.parts.length; index++) {
            int part = index;
            context.clock().scheduleAfter(context.usageLagMs(), () -> {
                if (attempt.parts[part] == GangAttempt.PartState.RUNNING
                        && workers.worker(attempt.placements.get(part).worker()).reachable()) {
                    context.notifyScheduler(new SchedulerEvent.UsageReported(attempt.task(part), used));
                }
            });
        }
    }

    private void checkMemoryOverrun(FakeWorker worker) {
        if (worker.usedMemoryMb() <= worker.spec.capacity().memoryMb()) {
            return;
        }
        TaskId victim = null;
        int victimExcessMb = 0;
        for (Map.Entry<TaskId, Integer> entry : worker.trueMemoryMb.entrySet()) {
            GangAttempt attempt = attempts.get(entry.getKey().attempt());
            int excessMb =
                    entry.getValue() - attempt.job.spec().shape().perPart().memoryMb();
            boolean winsTie = victim == null || entry.getKey().toString().compareTo(victim.toString()) < 0;
            if (excessMb > victimExcessMb || excessMb == victimExcessMb && winsTie) {
                victim = entry.getKey();
                victimExcessMb = excessMb;
            }
        }
        GangAttempt attempt = attempts.get(victim.attempt());
        int part = victim.part();
        context.clock().scheduleAfter(MEMORY_KILL_DELAY_MS, () -> {
            if (worker.usedMemoryMb() > worker.spec.capacity().memoryMb()) {
                fail(attempt, part, TaskFailure.MEMORY_OVERRUN);
            }
        });
    }

    private void fail(GangAttempt attempt, int part, TaskFailure failure) {
        if (attempt.parts[part] != GangAttempt.PartState.RUNNING) {
            return;
        }
        attempt.broken = true;
        endPart(attempt, part, PartEnd.FAILED);
        TaskId task = attempt.task(part);
        scheduleReport(attempt, part, () -> context.notifyScheduler(new SchedulerEvent.TaskFailed(task, failure)));
        closeIfDone(attempt);
    }

    private void complete(GangAttempt attempt, int generation) {
        if (attempt.generation != generation || attempt.broken || attempt.state == GangAttempt.State.CLOSED) {
            return;
        }
        for (int index = 0; index < attempt.parts.length; index++) {
            int part = index;
            endPart(attempt, index, PartEnd.COMPLETED);
            attempt.parts[index] = GangAttempt.PartState.UNREPORTED;
            scheduleReport(attempt, index, () -> reportResult(attempt, part));
        }
    }

    private void scheduleReport(GangAttempt attempt, int part, Runnable report) {
        WorkerId worker = attempt.placements.get(part).worker();
        int incarnation = workers.worker(worker).incarnation;
        context.clock()
                .scheduleAfter(context.delayMs(ProtocolTimes.REPORT_DELAY_MS, "report", attempt.task(part)), () -> {
                    FakeWorker sender = workers.worker(worker);
                    if (sender.state == FakeWorker.State.SILENT) {
                        sender.undeliveredReports.add(report);
                    } else if (sender.reachable() || sender.incarnation == incarnation) {
                        report.run();
                    }
                });
    }

    private void reportResult(GangAttempt attempt, int part) {
        if (attempt.parts[part] != GangAttempt.PartState.UNREPORTED) {
            return;
        }
        attempt.parts[part] = GangAttempt.PartState.ENDED;
        attempt.reportedParts++;
        JobId job = attempt.id.job();
        if (attempt.reportedParts == attempt.parts.length && !attempt.resultDelivered) {
            attempt.resultDelivered = true;
            context.record(new HistoryEvent.ResultDelivered(context.nowMs(), job));
            onResult.accept(job);
        }
        SchedulerEvent.TaskCompleted completed = new SchedulerEvent.TaskCompleted(attempt.task(part));
        context.notifyScheduler(completed);
        if (context.jitter().delayMs("duplicate", attempt.task(part), DUPLICATE_REPORT_ONE_IN) == 0) {
            context.clock().scheduleAfter(DUPLICATE_REPORT_DELAY_MS, () -> context.notifyScheduler(completed));
        }
        closeIfDone(attempt);
    }

    private void handleStop(GangAttempt attempt, StopMode mode) {
        if (attempt.state == GangAttempt.State.RUNNING && mode == StopMode.CHECKPOINT && canCheckpoint(attempt)) {
            checkpoint(attempt);
            return;
        }
        if (attempt.state == GangAttempt.State.CHECKPOINTING && mode == StopMode.CHECKPOINT) {
            return;
        }
        stopParts(attempt);
    }

    private boolean canCheckpoint(GangAttempt attempt) {
        return attempt.job.spec().checkpointable()
                && attempt.allParts(GangAttempt.PartState.RUNNING)
                && attempt.placements.stream().allMatch(placement -> workers.worker(placement.worker())
                        .reachable());
    }

    private void checkpoint(GangAttempt attempt) {
        attempt.state = GangAttempt.State.CHECKPOINTING;
        int generation = ++attempt.generation;
        double progressMs = attempt.progressMs(context.nowMs());
        boolean inTime = attempt.job.checkpointMs() <= checkpointBoundMs;
        context.clock().scheduleAfter(Math.min(attempt.job.checkpointMs(), checkpointBoundMs), () -> {
            if (attempt.generation != generation) {
                return;
            }
            if (!inTime || !canCheckpoint(attempt)) {
                stopParts(attempt);
                return;
            }
            savedProgressMs.merge(attempt.id.job(), progressMs, Double::sum);
            attempt.partsIn(GangAttempt.PartState.RUNNING)
                    .forEach(index -> endPart(attempt, index, PartEnd.CHECKPOINTED));
            close(attempt, true);
        });
    }

    private void stopParts(GangAttempt attempt) {
        if (attempt.state == GangAttempt.State.CLOSED) {
            return;
        }
        attempt.state = GangAttempt.State.STOPPING;
        attempt.generation++;
        for (int index = 0; index < attempt.parts.length; index++) {
            boolean reachable =
                    workers.worker(attempt.placements.get(index).worker()).reachable();
            if (attempt.parts[index] == GangAttempt.PartState.AWAITING_RELEASE) {
                attempt.parts[index] = GangAttempt.PartState.ENDED;
            } else if (attempt.parts[index] == GangAttempt.PartState.RUNNING && reachable) {
                attempt.broken = true;
                endPart(attempt, index, PartEnd.STOPPED);
            }
        }
        closeIfDone(attempt);
    }

    private void endPart(GangAttempt attempt, int index, PartEnd end) {
        attempt.parts[index] = GangAttempt.PartState.ENDED;
        Placement placement = attempt.placements.get(index);
        workers.worker(placement.worker()).trueMemoryMb.remove(attempt.task(index));
        context.record(new HistoryEvent.PartEnded(context.nowMs(), attempt.task(index), end));
    }

    private void closeIfDone(GangAttempt attempt) {
        boolean settled = attempt.state == GangAttempt.State.STOPPING || !attempt.stopRequested;
        if (settled && attempt.allParts(GangAttempt.PartState.ENDED)) {
            close(attempt, false);
        }
    }

    private void close(GangAttempt attempt, boolean checkpointed) {
        if (attempt.state == GangAttempt.State.CLOSED) {
            return;
        }
        attempt.state = GangAttempt.State.CLOSED;
        attempts.remove(attempt.id);
        attempt.placements.forEach(placement -> workers.worker(placement.worker()).attemptCount--);
        context.record(new HistoryEvent.AttemptClosed(context.nowMs(), attempt.id));
        if (attempt.stopRequested) {
            context.notifyScheduler(new SchedulerEvent.AttemptStopped(attempt.id, checkpointed));
        }
    }
}
