package org.fuchsiawinch.core.internal;

import java.util.List;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;

/** Handles the ends of parts, attempts and jobs. Not thread-safe. */
final class JobEndHandler {

    private final SchedulerState state;
    private final JobStarter starter;
    private final AttemptStopper stopper;
    private final OverrunMonitor overrunMonitor;
    private final Reservations reservations;
    private final JobEnqueuer enqueuer;

    JobEndHandler(
            SchedulerState state,
            JobStarter starter,
            AttemptStopper stopper,
            OverrunMonitor overrunMonitor,
            Reservations reservations,
            JobEnqueuer enqueuer) {
        this.state = state;
        this.starter = starter;
        this.stopper = stopper;
        this.overrunMonitor = overrunMonitor;
        this.reservations = reservations;
        this.enqueuer = enqueuer;
    }

    void cancel(JobId id) {
        Job job = state.jobs.get(id);
        if (job == null) {
            return;
        }
        if (job.attempt() != null) {
            stopper.stop(job.attempt(), StopCause.CANCEL, StopMode.STOP);
            return;
        }
        endWaiting(job, Reason.of(ReasonCode.END_CANCELLED));
    }

    /** Ends a waiting job. */
    void endWaiting(Job job, Reason reason) {
        if (job.claim() != null) {
            starter.abandon(job.claim());
        }
        if (job.jobClass() != null) {
            state.queue.remove(job);
        }
        enqueuer.untrack(job);
        reservations.drop(job);
        state.jobs.remove(job.spec().id());
        state.emit(new Decision.EndJob(job.spec().id(), job.mayHaveRun(), reason));
    }

    void completed(TaskId task) {
        state.attempt(task.attempt())
                .filter(attempt -> attempt.complete(task.part()))
                .ifPresent(this::finish);
    }

    void failed(TaskId task, TaskFailure failure) {
        state.attempt(task.attempt()).filter(attempt -> !attempt.stopping()).ifPresent(attempt -> {
            if (!state.has(SchedulerFeature.GANG_STOP)) {
                completed(task);
                return;
            }
            stopper.stop(attempt, recordFailure(attempt, task.part(), failure), StopMode.STOP);
        });
    }

    /** Stops the attempts that have unfinished parts on a lost worker. */
    void workerLost(Worker worker) {
        for (Attempt attempt : List.copyOf(worker.attempts())) {
            if (state.has(SchedulerFeature.GANG_STOP) && hasUnfinishedPart(attempt, worker)) {
                stopper.stop(attempt, StopCause.BROKEN, StopMode.STOP);
            }
        }
    }

    void stopped(SchedulerEvent.AttemptStopped event) {
        state.attempt(event.attempt()).ifPresent(attempt -> stopped(attempt, event.checkpointed()));
    }

    /** Ends the job if the cause says so or it cannot be repeated; otherwise queues it again. */
    private void stopped(Attempt attempt, boolean checkpointed) {
        Job job = attempt.job();
        StopCause cause = attempt.stopCause() == null ? StopCause.BROKEN : attempt.stopCause();
        double workMs = workMs(attempt);
        release(attempt);
        if (cause == StopCause.TIME_OVERRUN || cause == StopCause.MEMORY_OVERRUN) {
            double observedMs = cause == StopCause.TIME_OVERRUN ? job.savedWorkMs() + workMs : 0;
            state.estimator.record(job.spec(), observedMs, attempt.peakMemoryMb());
        }
        if (checkpointed) {
            job.addSavedWork(workMs);
        }
        if (cause.endsJob()) {
            end(job, Reason.of(cause.endCode()));
        } else if (job.spec().idempotent() || checkpointed) {
            enqueuer.add(job);
        } else {
            end(job, Reason.of(ReasonCode.END_BROKEN_NOT_REPEATABLE));
        }
    }

    /** Queues the job of a withdrawn attempt again, also a non-idempotent one, unless the stop cause ends it. */
    void withdrawn(SchedulerEvent.AttemptWithdrawn event) {
        state.attempt(event.attempt()).ifPresent(attempt -> {
            StopCause cause = attempt.stopCause() == null ? StopCause.BROKEN : attempt.stopCause();
            release(attempt);
            if (cause.endsJob()) {
                end(attempt.job(), Reason.of(cause.endCode()));
            } else {
                enqueuer.add(attempt.job());
            }
        });
    }

    private void finish(Attempt attempt) {
        Job job = attempt.job();
        double workMs = job.savedWorkMs() + workMs(attempt);
        release(attempt);
        state.estimator.record(job.spec(), workMs, attempt.peakMemoryMb());
        for (Worker worker : attempt.placement().workers()) {
            state.faults.recordSuccess(worker.id(), state.nowMs());
        }
        state.jobs.remove(job.spec().id());
    }

    private void release(Attempt attempt) {
        overrunMonitor.ended(attempt);
        GuaranteeUnit unit = attempt.unit();
        CapacityAccounting.release(attempt, state.pool);
        state.ledger(attempt.job().spec().workspace()).ended(attempt, state.nowMs());
        attempt.job().attempt(null);
        if (unit != null) {
            state.guaranteePlacer.attemptEnded(unit);
            state.promotable.add(unit.workspace());
        }
        if (attempt.entitlement() == Entitlement.NON_PREEMPTIBLE) {
            state.guaranteePlacer.placeMissing();
        }
        state.capacityGrew();
    }

    private void end(Job job, Reason reason) {
        state.jobs.remove(job.spec().id());
        state.emit(new Decision.EndJob(job.spec().id(), true, reason));
    }

    /** Returns the work that an attempt has done, in ms on a worker of speed 1.0. */
    private double workMs(Attempt attempt) {
        return (state.nowMs() - attempt.startedMs()) * attempt.placement().slowestSpeed();
    }

    /**
     * Counts failed work or a refused start against the job and its worker and returns the cause of the stop. Overruns,
     * lost workers and start timeouts do not count; a memory overrun raises the next grant instead.
     */
    private StopCause recordFailure(Attempt attempt, int part, TaskFailure failure) {
        if (failure == TaskFailure.TIME_OVERRUN) {
            return StopCause.TIME_OVERRUN;
        }
        if (failure == TaskFailure.WORKER_LOST || failure == TaskFailure.START_TIMEOUT) {
            return StopCause.BROKEN;
        }
        Job job = attempt.job();
        if (failure == TaskFailure.MEMORY_OVERRUN) {
            int grantedMb = attempt.perPart().memoryMb() + attempt.addedMemoryMb();
            return overrunMonitor.memoryExceeded(job, Math.max(attempt.peakMemoryMb(), grantedMb * 2));
        }
        WorkerId worker = attempt.placement().workerOf(part).id();
        job.addFailure(worker);
        boolean quarantine = state.faults.recordFailure(worker, job.spec().id(), state.nowMs());
        if (state.faults.isPoison(job, state.nowMs())) {
            state.faults.forgetFailures(job);
            return StopCause.POISON;
        }
        if (quarantine) {
            state.newlyQuarantined.add(worker);
        }
        return StopCause.BROKEN;
    }

    private static boolean hasUnfinishedPart(Attempt attempt, Worker worker) {
        int part = 0;
        GangPlacement placement = attempt.placement();
        for (int i = 0; i < placement.workers().length; i++) {
            for (int n = 0; n < placement.counts()[i]; n++) {
                if (placement.workers()[i] == worker && !attempt.completed(part)) {
                    return true;
                }
                part++;
            }
        }
        return false;
    }
}
