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

/** Something that happened and that the scheduler has to take into account. */
public sealed interface SchedulerEvent {

    /**
     * A document came into force.
     *
     * @param policy its compiled form
     */
    record PolicyChanged(Policy policy) implements SchedulerEvent {}

    /**
     * A worker became usable, or changed.
     *
     * @param worker its description
     */
    record WorkerJoined(WorkerSpec worker) implements SchedulerEvent {}

    /**
     * A worker is about to leave; it gets no new work, and running work may finish.
     *
     * @param worker the worker
     */
    record WorkerLeaving(WorkerId worker) implements SchedulerEvent {}

    /**
     * A worker cannot be reached; its capacity is neither free nor used until it joins again or is lost.
     *
     * @param worker the worker
     */
    record WorkerUnreachable(WorkerId worker) implements SchedulerEvent {}

    /**
     * A worker is gone and its leases have lapsed: nothing runs there any more.
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
     * An attempt that an earlier owner started was found running; its resources are in use.
     *
     * @param job the job
     * @param attempt the attempt
     * @param placements where its parts run
     * @param startedMs when it started, in ms since the epoch
     */
    record AttemptRecovered(JobSpec job, AttemptId attempt, List<Placement> placements, long startedMs)
            implements SchedulerEvent {

        /**
         * Copies the list.
         */
        public AttemptRecovered {
            placements = List.copyOf(placements);
        }
    }

    /**
     * All parts of an attempt are confirmed and released to run.
     *
     * @param attempt the attempt
     */
    record AttemptRunning(AttemptId attempt) implements SchedulerEvent {}

    /**
     * One part of a gang ended with its result. The gang has completed with its last part.
     *
     * @param task the part
     */
    record TaskCompleted(TaskId task) implements SchedulerEvent {}

    /**
     * One part of a gang ended without a result.
     *
     * @param task the part
     * @param failure why
     */
    record TaskFailed(TaskId task, TaskFailure failure) implements SchedulerEvent {}

    /**
     * All parts of an attempt have stopped after a stop decision, and their resources are free.
     *
     * @param attempt the attempt
     * @param checkpointed whether its progress was saved
     */
    record AttemptStopped(AttemptId attempt, boolean checkpointed) implements SchedulerEvent {}

    /**
     * An attempt ended before any of its parts was released, and its resources are free. The job did not run because of
     * it and waits again, also if it may not be repeated.
     *
     * @param attempt the attempt
     */
    record AttemptWithdrawn(AttemptId attempt) implements SchedulerEvent {}

    /**
     * A worker reported what a part uses, with a lag.
     *
     * @param task the part
     * @param used peak use so far
     */
    record UsageReported(TaskId task, Resources used) implements SchedulerEvent {}

    /**
     * A probe of a quarantined worker ended.
     *
     * @param worker the worker
     * @param healthy whether the probe succeeded
     */
    record ProbeEnded(WorkerId worker, boolean healthy) implements SchedulerEvent {}

    /** Time passed; sent about once a second while jobs wait, run or workers are quarantined. */
    record Tick() implements SchedulerEvent {}
}
