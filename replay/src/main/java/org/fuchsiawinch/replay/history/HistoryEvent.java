package org.fuchsiawinch.replay.history;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.replay.trace.TraceJob;

/**
 * Event in the history of a replay. Events marked as physical happen on the workers, whether or not the scheduler has
 * been notified of them. Times are in ms from the start of the trace.
 */
public sealed interface HistoryEvent {

    /**
     * Returns when the event happened.
     *
     * @return time in ms
     */
    long atMs();

    /**
     * A document came into force.
     *
     * @param atMs time in ms
     * @param policy policy compiled from the document
     */
    record PolicyInForce(long atMs, Policy policy) implements HistoryEvent {}

    /**
     * The scheduler was notified that a worker accepts work.
     *
     * @param atMs time in ms
     * @param worker its description
     */
    record WorkerOpened(long atMs, WorkerSpec worker) implements HistoryEvent {}

    /**
     * The scheduler was notified that a worker is leaving, unreachable or lost.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerClosed(long atMs, WorkerId worker) implements HistoryEvent {}

    /**
     * Physical: a worker failed, became unreachable or started to leave.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerDown(long atMs, WorkerId worker) implements HistoryEvent {}

    /**
     * Physical: a worker started to serve, or serves again.
     *
     * @param atMs time in ms
     * @param worker its description
     */
    record WorkerUp(long atMs, WorkerSpec worker) implements HistoryEvent {}

    /**
     * The scheduler quarantined a worker until a probe succeeds.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerQuarantined(long atMs, WorkerId worker) implements HistoryEvent {}

    /**
     * The result of a worker probe was reported to the scheduler.
     *
     * @param atMs time in ms
     * @param worker the worker
     * @param healthy whether the worker was found to work
     */
    record WorkerProbed(long atMs, WorkerId worker, boolean healthy) implements HistoryEvent {}

    /**
     * The log stopped accepting appends.
     *
     * @param atMs time in ms
     */
    record LogDown(long atMs) implements HistoryEvent {}

    /**
     * The log accepts appends again.
     *
     * @param atMs time in ms
     */
    record LogUp(long atMs) implements HistoryEvent {}

    /**
     * A submit was refused before it reached the scheduler because the log was unavailable.
     *
     * @param atMs time in ms
     * @param job the job
     */
    record SubmitDeferred(long atMs, JobId job) implements HistoryEvent {}

    /**
     * The scheduler received a job.
     *
     * @param atMs time in ms
     * @param job the job with its true run time and memory
     * @param originalId id under which the caller first submitted the job; differs from the job's id if the job was
     *     resubmitted after a refusal
     * @param firstSubmitMs time in ms of the caller's first submit
     */
    record JobSubmitted(long atMs, TraceJob job, JobId originalId, long firstSubmitMs) implements HistoryEvent {

        /**
         * Returns the job as its caller declared it.
         *
         * @return the declared job
         */
        public JobSpec spec() {
            return job.spec();
        }
    }

    /**
     * A caller requested the cancellation of a job.
     *
     * @param atMs time in ms
     * @param job the job
     */
    record JobCancelRequested(long atMs, JobId job) implements HistoryEvent {}

    /**
     * The scheduler decided to start a gang.
     *
     * @param atMs time in ms
     * @param attempt the attempt
     * @param placements workers of the attempt's parts
     * @param lent whether the scheduler counts the attempt as lent
     */
    record StartDecided(long atMs, AttemptId attempt, List<Placement> placements, boolean lent)
            implements HistoryEvent {

        /**
         * Copies the list.
         */
        public StartDecided {
            placements = List.copyOf(placements);
        }
    }

    /**
     * The scheduler started to count a running attempt within its workspace's guarantee.
     *
     * @param atMs time in ms
     * @param attempt the attempt
     */
    record AttemptPromoted(long atMs, AttemptId attempt) implements HistoryEvent {}

    /**
     * Physical: one part was released to run.
     *
     * @param atMs time in ms
     * @param task the part
     * @param worker its worker
     */
    record PartStarted(long atMs, TaskId task, WorkerId worker) implements HistoryEvent {}

    /**
     * Physical: one part stopped running.
     *
     * @param atMs time in ms
     * @param task the part
     * @param end how it ended
     */
    record PartEnded(long atMs, TaskId task, PartEnd end) implements HistoryEvent {}

    /**
     * The scheduler decided to stop a gang.
     *
     * @param atMs time in ms
     * @param attempt the attempt
     * @param code the reason
     */
    record StopDecided(long atMs, AttemptId attempt, ReasonCode code) implements HistoryEvent {}

    /**
     * An attempt ended and no longer holds capacity.
     *
     * @param atMs time in ms
     * @param attempt the attempt
     */
    record AttemptClosed(long atMs, AttemptId attempt) implements HistoryEvent {}

    /**
     * A caller received the complete result of its job.
     *
     * @param atMs time in ms
     * @param job the job
     */
    record ResultDelivered(long atMs, JobId job) implements HistoryEvent {}

    /**
     * A caller was notified that its job has no result.
     *
     * @param atMs time in ms
     * @param job the job
     * @param ran whether the caller was notified that the job may have run
     * @param code the reason
     */
    record JobEndReported(long atMs, JobId job, boolean ran, ReasonCode code) implements HistoryEvent {}

    /**
     * A job had no outcome at the end of the replay.
     *
     * @param atMs time in ms
     * @param job the job
     * @param running whether an attempt of it was starting, running or stopping
     * @param waiting the scheduler's reason why the job waits; empty if it states none
     */
    record JobOpenAtEnd(long atMs, JobId job, boolean running, Optional<ReasonCode> waiting) implements HistoryEvent {}
}
