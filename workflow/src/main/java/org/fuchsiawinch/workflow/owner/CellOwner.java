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

    /** Interval in ms between removals of jobs past their retention; far below the retention period. */
    private static final long FORGET_EVERY_MS = 5000;

    /** Interval in ms between records of learned run times; bounds the observations that a takeover loses. */
    private static final long LEARNED_EVERY_MS = 2500;

    private final CellState state;
    private final Runs runs;
    private final Renewals renewals;
    private final Scheduling scheduling;
    private final Stalls stalls;
    private final long epoch;
    private boolean appending;
    private long appendedMs;
    private long forgottenMs;
    private long learnedMs;
    private List<CellRecord> removals = List.of();
    private List<ActiveRun> startsInFlight = List.of();
    private Map<WorkerId, Long> endsInFlight = Map.of();

    /**
     * Creates the owner.
     *
     * @param settings the settings
     * @param epoch epoch of the ownership
     * @param log receives each decision
     * @param nowMs present time in ms
     */
    public CellOwner(OwnerSettings settings, long epoch, DecisionLog log, long nowMs) {
        this.state = new CellState(settings, log);
        this.epoch = epoch;
        this.runs = new Runs(state);
        this.renewals = new Renewals(state, runs, nowMs);
        this.scheduling = new Scheduling(state, runs);
        this.stalls = new Stalls(state, runs);
        this.appendedMs = nowMs;
        this.learnedMs = nowMs;
    }

    /**
     * Loads the stored state of the cell. Resulting effects are returned with those of the first input.
     *
     * @param records the newest record of each key, in order of their offsets
     * @param nowMs present time in ms
     */
    public void load(List<CellRecord> records, long nowMs) {
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
            }
        }
        for (CellRecord record : records) {
            if (record instanceof CellRecord.CancelRequested request) {
                cancel(request.job(), nowMs);
            }
        }
        state.log.line("cell-loaded", "epoch", epoch, "jobs", state.jobs.size(), "open", state.open.size());
    }

    /**
     * Processes one input.
     *
     * @param input the input
     * @param nowMs present time in ms; must not decrease between calls
     * @return effects to carry out, in order
     */
    public List<OwnerEffect> handle(OwnerInput input, long nowMs) {
        boolean mayStart = mayStart(input, nowMs);
        if (input instanceof OwnerInput.RecordsRead read) {
            read.records().forEach(record -> recordRead(record, nowMs));
        } else if (input instanceof OwnerInput.Appended) {
            appended(nowMs);
        } else if (input instanceof OwnerInput.Tick) {
            tick(nowMs);
        } else if (input instanceof OwnerInput.GuaranteesChanged changed) {
            state.guarantees = changed.guarantees();
        } else {
            workerInput(input, nowMs);
        }
        if (!appending) {
            if (mayStart) {
                scheduling.run(nowMs);
            }
            append(nowMs);
        }
        renewals.sendDue(nowMs);
        List<OwnerEffect> effects = state.effects;
        state.effects = new ArrayList<>();
        return effects;
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
     * Returns the number of jobs that have not ended or still hold assigned tasks.
     *
     * @return the number
     */
    public int openJobs() {
        return state.open.size();
    }

    /** Returns whether an input may allow a start. Most renewals only report progress, and ticks schedule anyway. */
    private boolean mayStart(OwnerInput input, long nowMs) {
        if (!(input instanceof OwnerInput.Renewed renewed)) {
            return !(input instanceof OwnerInput.RenewalFailed);
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
            listed(listed.registration(), nowMs);
        } else if (input instanceof OwnerInput.WorkerUnlisted unlisted) {
            unlisted(unlisted.worker(), nowMs);
        } else if (input instanceof OwnerInput.Renewed renewed) {
            known(renewed.worker())
                    .ifPresent(worker -> renewals.answered(worker, renewed.sentMs(), renewed.report(), nowMs));
        } else if (input instanceof OwnerInput.RenewalFailed failed) {
            if (failed.fenced()) {
                state.effects.add(new OwnerEffect.StepDown("worker " + failed.worker() + " knows a higher epoch"));
                return;
            }
            known(failed.worker()).ifPresent(worker -> renewals.failed(worker, failed.problem(), nowMs));
        } else if (input instanceof OwnerInput.StartAnswered answered) {
            known(answered.worker())
                    .ifPresent(worker -> runs.startAnswered(worker, answered.run(), answered.outcome(), nowMs));
        } else if (input instanceof OwnerInput.StopAnswered answered) {
            known(answered.worker())
                    .ifPresent(worker -> runs.stopAnswered(worker, answered.run(), answered.answered(), nowMs));
        }
    }

    private Optional<WorkerState> known(WorkerId id) {
        return Optional.ofNullable(state.workers.get(id));
    }

    private void listed(WorkerRegistration registration, long nowMs) {
        WorkerState worker = state.worker(registration.id(), nowMs);
        boolean news = !worker.listed || worker.registration.leaving() != registration.leaving();
        worker.registration = registration;
        worker.listed = true;
        if (news) {
            state.log.line(
                    "worker-listed",
                    "worker",
                    registration.id(),
                    "leaving",
                    registration.leaving(),
                    "rack",
                    registration.rack(),
                    "runs",
                    worker.runs.size());
        }
    }

    private void unlisted(WorkerId id, long nowMs) {
        known(id).ifPresent(worker -> {
            worker.listed = false;
            state.log.line("worker-unlisted", "worker", id, "runs", worker.runs.size());
            if (worker.registration != null && worker.registration.leaving()) {
                renewals.lost(worker, "worker-left", nowMs);
            }
        });
    }

    private void recordRead(CellRecord record, long nowMs) {
        if (record instanceof CellRecord.Accepted accepted) {
            state.accept(new JobState(accepted.submission()));
        } else if (record instanceof CellRecord.CancelRequested request) {
            cancel(request.job(), nowMs);
        } else if (record instanceof CellRecord.Owner owner && owner.epoch() > epoch) {
            state.effects.add(new OwnerEffect.StepDown("node " + owner.node() + " owns epoch " + owner.epoch()));
        }
    }

    private void cancel(String id, long nowMs) {
        JobState job = state.jobs.get(id);
        if (job == null || !state.cancelled.add(id) || job.phase().ended()) {
            return;
        }
        state.end(job, JobPhase.CANCELLED, nowMs);
        runs.stopAll(job, "cancelled", nowMs);
        state.close(job);
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
            runs.stopAll(job, "job-ended", nowMs);
        }
        state.close(job);
    }

    private void restore(CellRecord.LearnedRunTimes learned, long nowMs) {
        state.forecast.restore(learned.queueErrors());
        learned.logSpeeds()
                .forEach((id, speed) -> state.worker(id, nowMs).health.restoreLogSpeed(speed));
    }

    private CellRecord.LearnedRunTimes learned() {
        Map<WorkerId, Double> speeds = new TreeMap<>();
        state.workers
                .values()
                .forEach(
                        worker -> speeds.put(worker.id, worker.health.logSpeed().mean()));
        return new CellRecord.LearnedRunTimes(speeds, state.forecast.queueErrors());
    }

    private void restoreTask(JobState job, TaskRef ref, CellRecord.TaskProgress recorded, long nowMs) {
        TaskState task = job.task(ref);
        if (task == null) {
            return;
        }
        task.restore(
                recorded.phase(),
                recorded.run(),
                recorded.failures(),
                recorded.failedRun(),
                recorded.worker(),
                recorded.checkpoint());
        if (recorded.phase() != TaskPhase.ASSIGNED || recorded.worker().isEmpty()) {
            return;
        }
        WorkerState worker = state.worker(recorded.worker().get(), nowMs);
        ActiveRun run = new ActiveRun(new TaskRun(ref, recorded.run()), job, worker, ActiveRun.Stage.ORDERED);
        run.absenceProvesEndMs = nowMs - 1;
        worker.add(run);
    }

    private void tick(long nowMs) {
        if (nowMs - forgottenMs >= FORGET_EVERY_MS && removals.isEmpty()) {
            forgottenMs = nowMs;
            removals = forgotten(nowMs);
        }
        renewals.expire(nowMs);
        stalls.check(nowMs);
        for (WorkerState worker : state.workers.values()) {
            runs.repeatStops(worker, nowMs);
        }
    }

    private void appended(long nowMs) {
        appending = false;
        appendedMs = nowMs;
        endsInFlight.forEach((id, sequence) -> known(id).ifPresent(worker -> {
            if (sequence <= worker.seenSequence && sequence > worker.acknowledged) {
                worker.acknowledged = sequence;
                worker.retryAtMs = nowMs;
            }
        }));
        List<ActiveRun> starts = startsInFlight;
        startsInFlight = List.of();
        starts.forEach(run -> runs.assignmentStored(run, nowMs));
    }

    private void append(long nowMs) {
        List<CellRecord> records = new ArrayList<>();
        state.changed.forEach(job -> records.add(CellState.progress(job)));
        state.changed.clear();
        records.addAll(removals);
        removals = List.of();
        if (!records.isEmpty() && nowMs - learnedMs >= LEARNED_EVERY_MS) {
            learnedMs = nowMs;
            records.add(learned());
        }
        if (records.isEmpty() && nowMs - appendedMs >= state.settings.heartbeatMs()) {
            records.add(new CellRecord.Owner(state.settings.node(), epoch, false));
        }
        startsInFlight = List.copyOf(state.toStart);
        state.toStart.clear();
        endsInFlight = new TreeMap<>();
        boolean ends = false;
        for (WorkerState worker : state.workers.values()) {
            if (worker.seenSequence > worker.acknowledged) {
                endsInFlight.put(worker.id, worker.seenSequence);
                ends = true;
            }
        }
        if (records.isEmpty()) {
            if (ends) {
                appended(appendedMs);
            }
            return;
        }
        appending = true;
        state.effects.add(new OwnerEffect.Append(records));
    }

    private List<CellRecord> forgotten(long nowMs) {
        List<CellRecord> removed = new ArrayList<>();
        state.jobs.values().removeIf(job -> {
            boolean old = job.phase().ended()
                    && !state.open.containsKey(job.submission().id())
                    && nowMs - job.endedAtMs() > state.settings.retentionMs();
            if (old) {
                String id = job.submission().id();
                state.cancelled.remove(id);
                removed.add(new CellRecord.Removed(CellRecord.Accepted.PREFIX + id));
                removed.add(new CellRecord.Removed(CellRecord.Progress.PREFIX + id));
                removed.add(new CellRecord.Removed(CellRecord.CancelRequested.PREFIX + id));
            }
            return old;
        });
        return removed;
    }
}
