package org.fuchsiawinch.core.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskFailure;

/**
 * Common base of the baseline schedulers: one queue in order of arrival and a discipline that picks jobs from it. A
 * stopped idempotent job returns to its place in the queue, a job that failed {@link #MAX_FAILURES} times ends, and a
 * job whose shape the workers seen so far cannot hold does not block others. Not thread-safe.
 */
final class QueueScheduler implements Scheduler {

    private static final int MAX_FAILURES = 5;

    private final QueueDiscipline discipline;
    private final Fleet fleet = new Fleet();
    private final Map<JobId, Long> arrivals = new HashMap<>();
    private final Map<Long, JobSpec> waiting = new TreeMap<>();
    private final Map<JobId, Integer> failures = new HashMap<>();

    QueueScheduler(QueueDiscipline discipline) {
        this.discipline = discipline;
    }

    @Override
    public List<Decision> decide(SchedulerEvent event, long nowMs) {
        List<Decision> decisions = new ArrayList<>();
        if (!apply(event, nowMs, decisions)) {
            return decisions;
        }
        List<JobSpec> feasible = waiting.values().stream()
                .filter(job -> fleet.couldEverHold(job.shape()))
                .toList();
        discipline.startJobs(feasible, fleet, nowMs);
        for (Decision decision : fleet.drainStarted()) {
            Decision.StartGang start = (Decision.StartGang) decision;
            waiting.remove(arrivals.get(start.attempt().job()));
            decisions.add(start);
        }
        return decisions;
    }

    @Override
    public Optional<Reason> waitReason(JobId job, long nowMs) {
        if (!arrivals.containsKey(job) || !waiting.containsKey(arrivals.get(job))) {
            return Optional.empty();
        }
        return Optional.of(Reason.of(ReasonCode.WAIT_CAPACITY));
    }

    /** Applies the event; returns false if it cannot have made a start possible. */
    private boolean apply(SchedulerEvent event, long nowMs, List<Decision> decisions) {
        if (event instanceof SchedulerEvent.WorkerJoined joined) {
            fleet.join(joined.worker());
            return true;
        } else if (event instanceof SchedulerEvent.JobSubmitted submitted) {
            return submit(submitted.job());
        } else if (event instanceof SchedulerEvent.TaskCompleted completed) {
            return complete(completed);
        } else if (event instanceof SchedulerEvent.AttemptStopped stopped) {
            stopped(stopped.attempt(), decisions);
            return true;
        } else if (event instanceof SchedulerEvent.AttemptWithdrawn withdrawn) {
            withdrawn(withdrawn.attempt(), decisions);
            return true;
        } else if (event instanceof SchedulerEvent.JobCancelled cancelled) {
            cancel(cancelled.job(), decisions);
            return true;
        } else if (event instanceof SchedulerEvent.AttemptRecovered recovered) {
            waiting.remove(arrivals.computeIfAbsent(recovered.job().id(), job -> (long) arrivals.size()));
            fleet.recover(recovered.job(), recovered.attempt(), recovered.placements(), recovered.startedMs());
        } else if (event instanceof SchedulerEvent.WorkerLeaving leaving) {
            fleet.close(leaving.worker());
        } else if (event instanceof SchedulerEvent.WorkerUnreachable unreachable) {
            fleet.close(unreachable.worker());
        } else if (event instanceof SchedulerEvent.WorkerLost lost) {
            List<RunningGang> broken = fleet.gangsOn(lost.worker());
            fleet.remove(lost.worker());
            broken.forEach(gang -> stopBroken(gang, decisions));
        } else if (event instanceof SchedulerEvent.TaskFailed failed) {
            fail(failed, decisions);
        }
        return false;
    }

    private boolean submit(JobSpec job) {
        if (arrivals.containsKey(job.id())) {
            return false;
        }
        arrivals.put(job.id(), (long) arrivals.size());
        waiting.put(arrivals.get(job.id()), job);
        return true;
    }

    private void cancel(JobId job, List<Decision> decisions) {
        if (arrivals.containsKey(job) && waiting.remove(arrivals.get(job)) != null) {
            decisions.add(new Decision.EndJob(job, fleet.everStarted(job), Reason.of(ReasonCode.END_CANCELLED)));
            return;
        }
        Optional<RunningGang> running = fleet.gangOf(job);
        if (running.isEmpty() || running.get().cancelled) {
            return;
        }
        RunningGang gang = running.get();
        gang.cancelled = true;
        if (!gang.stopping) {
            gang.stopping = true;
            decisions.add(new Decision.StopGang(gang.id, StopMode.STOP, Reason.of(ReasonCode.STOP_CANCELLED)));
        }
    }

    private boolean complete(SchedulerEvent.TaskCompleted completed) {
        Optional<RunningGang> running = fleet.gang(completed.task().attempt());
        if (running.isEmpty()) {
            return false;
        }
        RunningGang gang = running.get();
        gang.completedParts.add(completed.task().part());
        if (!gang.complete() || gang.stopping) {
            return false;
        }
        fleet.release(gang);
        return true;
    }

    private void fail(SchedulerEvent.TaskFailed failed, List<Decision> decisions) {
        fleet.gang(failed.task().attempt()).ifPresent(gang -> {
            if (failed.failure() == TaskFailure.WORK_FAILED && !gang.stopping) {
                failures.merge(gang.job.id(), 1, Integer::sum);
                gang.workerOf(failed.task().part()).ifPresent(worker -> fleet.recordFailure(gang.job.id(), worker));
            }
            stopBroken(gang, decisions);
        });
    }

    private static void stopBroken(RunningGang gang, List<Decision> decisions) {
        if (gang.stopping) {
            return;
        }
        gang.stopping = true;
        decisions.add(new Decision.StopGang(gang.id, StopMode.STOP, Reason.of(ReasonCode.STOP_GANG_BROKEN)));
    }

    private void stopped(AttemptId id, List<Decision> decisions) {
        Optional<RunningGang> running = fleet.gang(id);
        if (running.isEmpty()) {
            return;
        }
        RunningGang gang = running.get();
        fleet.release(gang);
        if (gang.complete()) {
            return;
        }
        endReason(gang)
                .ifPresentOrElse(
                        code -> decisions.add(new Decision.EndJob(id.job(), true, Reason.of(code))),
                        () -> waiting.put(arrivals.get(id.job()), gang.job));
    }

    private void withdrawn(AttemptId id, List<Decision> decisions) {
        Optional<RunningGang> running = fleet.gang(id);
        if (running.isEmpty()) {
            return;
        }
        fleet.release(running.get());
        if (running.get().cancelled) {
            decisions.add(new Decision.EndJob(id.job(), true, Reason.of(ReasonCode.END_CANCELLED)));
            return;
        }
        waiting.put(arrivals.get(id.job()), running.get().job);
    }

    private Optional<ReasonCode> endReason(RunningGang gang) {
        if (gang.cancelled) {
            return Optional.of(ReasonCode.END_CANCELLED);
        }
        if (!gang.job.idempotent()) {
            return Optional.of(ReasonCode.END_BROKEN_NOT_REPEATABLE);
        }
        return failures.getOrDefault(gang.job.id(), 0) >= MAX_FAILURES
                ? Optional.of(ReasonCode.END_POISON)
                : Optional.empty();
    }
}
