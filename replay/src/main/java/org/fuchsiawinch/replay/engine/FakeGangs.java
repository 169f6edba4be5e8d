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

    private static final long MEMORY_KILL_MS = 1_000;
    private static final long DUPLICATE_REPORT_MS = 5_000;
    private static final int DUPLICATE_ONE_IN = 64;

    private final Stage stage;
    private final FakeWorkers workers;
    private final Consumer<JobId> onResult;
    private final Map<AttemptId, GangAttempt> attempts = new LinkedHashMap<>();
    private final Map<JobId, Double> savedMs = new HashMap<>();
    private long checkpointBoundMs;

    FakeGangs(Stage stage, FakeWorkers workers, Consumer<JobId> onResult) {
        this.stage = stage;
        this.workers = workers;
        this.onResult = onResult;
        workers.listen(this);
    }

    void boundCheckpoints(long boundMs) {
        checkpointBoundMs = boundMs;
    }

    boolean active(JobId job) {
        return attempts.keySet().stream().anyMatch(id -> id.job().equals(job));
    }

    void start(TraceJob job, Decision.StartGang start) {
        stage.record(new HistoryEvent.StartDecided(stage.nowMs(), start.attempt(), start.placements(), start.lent()));
        GangAttempt attempt = new GangAttempt(start.attempt(), job, start.placements());
        attempts.put(attempt.id, attempt);
        attempt.placements.forEach(placement -> workers.worker(placement.worker()).gangs++);
        stage.afterAppend(attempt.id, () -> stage.timeline()
                .after(stage.delay(ProtocolTimes.START_MS, "start", attempt.id), () -> tryRelease(attempt)));
    }

    void stop(Decision.StopGang stop) {
        stage.record(new HistoryEvent.StopDecided(
                stage.nowMs(), stop.attempt(), stop.reason().code()));
        GangAttempt attempt = attempts.get(stop.attempt());
        long delayMs = stage.delay(ProtocolTimes.STOP_MS, "stop", stop.attempt());
        if (attempt == null) {
            stage.timeline().after(delayMs, () -> stage.tell(new SchedulerEvent.AttemptStopped(stop.attempt(), false)));
            return;
        }
        attempt.stopRequested = true;
        if (attempt.state == GangAttempt.State.STARTING) {
            attempt.state = GangAttempt.State.STOPPING;
        }
        stage.timeline().after(delayMs, () -> stopArrived(attempt, stop.mode()));
    }

    @Override
    public void gone(WorkerId worker) {
        for (GangAttempt attempt : new ArrayList<>(attempts.values())) {
            boolean hit = false;
            for (int index = 0; index < attempt.parts.length; index++) {
                if (!attempt.placements.get(index).worker().equals(worker)) {
                    continue;
                }
                hit = true;
                losePart(attempt, index);
            }
            if (hit) {
                closeIfDone(attempt);
            }
        }
        workers.worker(worker).trueMemoryMb.clear();
    }

    @Override
    public void reachable(WorkerId worker) {
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
        boolean confirmed = attempt.placements.stream()
                .allMatch(placement -> workers.worker(placement.worker()).reachable());
        if (!confirmed) {
            stage.timeline().after(ProtocolTimes.START_RETRY_MS, () -> tryRelease(attempt));
            return;
        }
        release(attempt);
    }

    private void release(GangAttempt attempt) {
        long nowMs = stage.nowMs();
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
            stage.record(new HistoryEvent.PartStarted(nowMs, attempt.task(index), worker));
        }
        planEnd(attempt);
        planUsageReports(attempt);
        attempt.placements.forEach(placement -> checkMemory(workers.worker(placement.worker())));
        stage.tell(new SchedulerEvent.AttemptRunning(attempt.id));
    }

    private void planEnd(GangAttempt attempt) {
        double leftMs = attempt.job.trueRunMs() - savedMs.getOrDefault(attempt.id.job(), 0.0);
        long durationMs = Math.max(1, Math.round(leftMs / attempt.speed));
        int epoch = attempt.epoch;
        stage.timeline().after(durationMs, () -> complete(attempt, epoch));
        if (attempt.job.alwaysFails()) {
            stage.timeline().after(Math.min(durationMs - 1, ProtocolTimes.POISON_FAIL_MS), () -> {
                fail(attempt, 0, TaskFailure.WORK_FAILED);
            });
        }
        for (int index = 0; index < attempt.parts.length; index++) {
            int failing = index;
            if (workers.worker(attempt.placements.get(index).worker()).faulty(stage.nowMs())) {
                stage.timeline()
                        .after(ProtocolTimes.FAULTY_FAIL_MS, () -> fail(attempt, failing, TaskFailure.WORK_FAILED));
            }
        }
    }

    private void planUsageReports(GangAttempt attempt) {
        Resources granted = attempt.job.spec().shape().perPart();
        Resources used = new Resources(
                granted.cpuMillis(),
                attempt.job.trueMemoryMb(),
                granted.accelerators(),
                granted.slots(),
                granted.connections());
        for (int index = 0; index < attempt.parts.length; index++) {
            int part = index;
            stage.timeline().after(stage.usageLagMs(), () -> {
                if (attempt.parts[part] == GangAttempt.PartState.RUNNING
                        && workers.worker(attempt.placements.get(part).worker()).reachable()) {
                    stage.tell(new SchedulerEvent.UsageReported(attempt.task(part), used));
                }
            });
        }
    }

    private void checkMemory(FakeWorker worker) {
        if (worker.usedMemoryMb() <= worker.spec.capacity().memoryMb()) {
            return;
        }
        TaskId worst = null;
        int worstExcessMb = 0;
        for (Map.Entry<TaskId, Integer> entry : worker.trueMemoryMb.entrySet()) {
            GangAttempt attempt = attempts.get(entry.getKey().attempt());
            int excessMb =
                    entry.getValue() - attempt.job.spec().shape().perPart().memoryMb();
            boolean sooner = worst == null || entry.getKey().toString().compareTo(worst.toString()) < 0;
            if (excessMb > worstExcessMb || excessMb == worstExcessMb && sooner) {
                worst = entry.getKey();
                worstExcessMb = excessMb;
            }
        }
        GangAttempt attempt = attempts.get(worst.attempt());
        int part = worst.part();
        stage.timeline().after(MEMORY_KILL_MS, () -> {
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
        report(attempt, part, () -> stage.tell(new SchedulerEvent.TaskFailed(task, failure)));
        closeIfDone(attempt);
    }

    private void complete(GangAttempt attempt, int epoch) {
        if (attempt.epoch != epoch || attempt.broken || attempt.state == GangAttempt.State.CLOSED) {
            return;
        }
        for (int index = 0; index < attempt.parts.length; index++) {
            int part = index;
            endPart(attempt, index, PartEnd.COMPLETED);
            attempt.parts[index] = GangAttempt.PartState.UNREPORTED;
            report(attempt, index, () -> reportResult(attempt, part));
        }
    }

    private void report(GangAttempt attempt, int part, Runnable report) {
        WorkerId worker = attempt.placements.get(part).worker();
        int incarnation = workers.worker(worker).incarnation;
        stage.timeline().after(stage.delay(ProtocolTimes.REPORT_MS, "report", attempt.task(part)), () -> {
            FakeWorker sender = workers.worker(worker);
            if (sender.state == FakeWorker.State.SILENT) {
                sender.heldReports.add(report);
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
        attempt.reported++;
        JobId job = attempt.id.job();
        if (attempt.reported == attempt.parts.length && !attempt.resultDelivered) {
            attempt.resultDelivered = true;
            stage.record(new HistoryEvent.ResultDelivered(stage.nowMs(), job));
            onResult.accept(job);
        }
        SchedulerEvent.TaskCompleted completed = new SchedulerEvent.TaskCompleted(attempt.task(part));
        stage.tell(completed);
        if (stage.jitter().ms("duplicate", attempt.task(part), DUPLICATE_ONE_IN) == 0) {
            stage.timeline().after(DUPLICATE_REPORT_MS, () -> stage.tell(completed));
        }
        closeIfDone(attempt);
    }

    private void stopArrived(GangAttempt attempt, StopMode mode) {
        if (attempt.state == GangAttempt.State.RUNNING && mode == StopMode.CHECKPOINT && checkpointPossible(attempt)) {
            checkpoint(attempt);
            return;
        }
        if (attempt.state == GangAttempt.State.CHECKPOINTING && mode == StopMode.CHECKPOINT) {
            return;
        }
        stopParts(attempt);
    }

    private boolean checkpointPossible(GangAttempt attempt) {
        return attempt.job.spec().checkpointable()
                && attempt.all(GangAttempt.PartState.RUNNING)
                && attempt.placements.stream().allMatch(placement -> workers.worker(placement.worker())
                        .reachable());
    }

    private void checkpoint(GangAttempt attempt) {
        attempt.state = GangAttempt.State.CHECKPOINTING;
        int epoch = ++attempt.epoch;
        double progressMs = attempt.progressMs(stage.nowMs());
        boolean inTime = attempt.job.checkpointMs() <= checkpointBoundMs;
        stage.timeline().after(Math.min(attempt.job.checkpointMs(), checkpointBoundMs), () -> {
            if (attempt.epoch != epoch) {
                return;
            }
            if (!inTime || !checkpointPossible(attempt)) {
                stopParts(attempt);
                return;
            }
            savedMs.merge(attempt.id.job(), progressMs, Double::sum);
            attempt.indexes(GangAttempt.PartState.RUNNING)
                    .forEach(index -> endPart(attempt, index, PartEnd.CHECKPOINTED));
            close(attempt, true);
        });
    }

    private void stopParts(GangAttempt attempt) {
        if (attempt.state == GangAttempt.State.CLOSED) {
            return;
        }
        attempt.state = GangAttempt.State.STOPPING;
        attempt.epoch++;
        for (int index = 0; index < attempt.parts.length; index++) {
            boolean reachable =
                    workers.worker(attempt.placements.get(index).worker()).reachable();
            if (attempt.parts[index] == GangAttempt.PartState.HELD) {
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
        stage.record(new HistoryEvent.PartEnded(stage.nowMs(), attempt.task(index), end));
    }

    private void closeIfDone(GangAttempt attempt) {
        boolean settled = attempt.state == GangAttempt.State.STOPPING || !attempt.stopRequested;
        if (settled && attempt.all(GangAttempt.PartState.ENDED)) {
            close(attempt, false);
        }
    }

    private void close(GangAttempt attempt, boolean checkpointed) {
        if (attempt.state == GangAttempt.State.CLOSED) {
            return;
        }
        attempt.state = GangAttempt.State.CLOSED;
        attempts.remove(attempt.id);
        attempt.placements.forEach(placement -> workers.worker(placement.worker()).gangs--);
        stage.record(new HistoryEvent.AttemptClosed(stage.nowMs(), attempt.id));
        if (attempt.stopRequested) {
            stage.tell(new SchedulerEvent.AttemptStopped(attempt.id, checkpointed));
        }
    }
}
