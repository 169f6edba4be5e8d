package org.fuchsiawinch.core;

import java.util.List;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/** An input of the scheduler. */
public sealed interface SchedulerEvent {

    /**
     * A new document came into force.
     *
     * @param policy the compiled document
     */
    record PolicyChanged(Policy policy) implements SchedulerEvent {}

    /**
     * A worker became usable or changed its specification.
     *
     * @param worker the specification
     */
    record WorkerJoined(WorkerSpec worker) implements SchedulerEvent {}

    /**
     * A worker is about to leave. It receives no new work; running work may finish.
     *
     * @param worker the worker
     */
    record WorkerLeaving(WorkerId worker) implements SchedulerEvent {}

    /**
     * A worker cannot be reached. It receives no new work until it joins again or is lost.
     *
     * @param worker the worker
     */
    record WorkerUnreachable(WorkerId worker) implements SchedulerEvent {}

    /**
     * A worker is gone and its leases have expired, so that nothing runs on it any more.
     *
     * @param worker the worker
     */
    record WorkerLost(WorkerId worker) implements SchedulerEvent {}

    /**
     * A caller submitted a job.
     *
     * @param job the job
     */
    record JobSubmitted(JobSpec job) implements SchedulerEvent {}

    /**
     * A caller cancelled a job.
     *
     * @param job the job
     */
    record JobCancelled(JobId job) implements SchedulerEvent {}

    /**
     * An attempt started by a previous owner of the cell is still running and uses its resources.
     *
     * @param job the job
     * @param attempt the attempt
     * @param placements the worker of each part
     * @param startedMs when it started, in ms since the Unix epoch
     */
    record AttemptRecovered(JobSpec job, AttemptId attempt, List<Placement> placements, long startedMs)
            implements SchedulerEvent {

        /**
         * Copies the placements into an immutable list.
         */
        public AttemptRecovered {
            placements = List.copyOf(placements);
        }
    }

    /**
     * All parts of an attempt were confirmed and released to run.
     *
     * @param attempt the attempt
     */
    record AttemptRunning(AttemptId attempt) implements SchedulerEvent {}

    /**
     * One part of a gang ended with its result. The gang completes with its last part.
     *
     * @param task the part
     */
    record TaskCompleted(TaskId task) implements SchedulerEvent {}

    /**
     * One part of a gang ended without a result.
     *
     * @param task the part
     * @param failure kind of failure
     */
    record TaskFailed(TaskId task, TaskFailure failure) implements SchedulerEvent {}

    /**
     * All parts of an attempt stopped after a stop decision, and their resources are free.
     *
     * @param attempt the attempt
     * @param checkpointed whether the attempt's progress was saved
     */
    record AttemptStopped(AttemptId attempt, boolean checkpointed) implements SchedulerEvent {}

    /**
     * An attempt ended before any of its parts was released to run, and its resources are free. The job has not run in
     * this attempt, so it waits again even if it must not be repeated.
     *
     * @param attempt the attempt
     */
    record AttemptWithdrawn(AttemptId attempt) implements SchedulerEvent {}

    /**
     * A worker reported the resource usage of a part; reports lag behind the actual usage.
     *
     * @param task the part
     * @param used peak usage so far
     */
    record UsageReported(TaskId task, Resources used) implements SchedulerEvent {}

    /**
     * A probe of a quarantined worker ended.
     *
     * @param worker the worker
     * @param healthy whether the probe succeeded
     */
    record ProbeEnded(WorkerId worker, boolean healthy) implements SchedulerEvent {}

    /** Time passed. Sent about once a second while jobs wait or run or workers are quarantined. */
    record Tick() implements SchedulerEvent {}
}
