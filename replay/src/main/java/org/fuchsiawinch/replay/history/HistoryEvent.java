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
 * One fact of a replay. "Physical" facts happen on the workers whether or not the scheduler knows of them yet. Times
 * are in ms from the start of the trace.
 */
public sealed interface HistoryEvent {

    /**
     * Tells when it happened.
     *
     * @return time in ms
     */
    long atMs();

    /**
     * A document came into force.
     *
     * @param atMs time in ms
     * @param policy its compiled form
     */
    record PolicyInForce(long atMs, Policy policy) implements HistoryEvent {}

    /**
     * The scheduler was told that a worker may be used.
     *
     * @param atMs time in ms
     * @param worker its description
     */
    record WorkerOpened(long atMs, WorkerSpec worker) implements HistoryEvent {}

    /**
     * The scheduler was told that a worker is leaving, in doubt or lost.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerClosed(long atMs, WorkerId worker) implements HistoryEvent {}

    /**
     * Physical: a worker died or departed, became silent, or started to leave.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerDown(long atMs, WorkerId worker) implements HistoryEvent {}

    /**
     * Physical: a worker serves.
     *
     * @param atMs time in ms
     * @param worker its description
     */
    record WorkerUp(long atMs, WorkerSpec worker) implements HistoryEvent {}

    /**
     * The scheduler took a worker out of use until a probe succeeds.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerQuarantined(long atMs, WorkerId worker) implements HistoryEvent {}

    /**
     * A probe told the scheduler how a worker is.
     *
     * @param atMs time in ms
     * @param worker the worker
     * @param healthy whether it works
     */
    record WorkerProbed(long atMs, WorkerId worker, boolean healthy) implements HistoryEvent {}

    /**
     * The log stopped taking appends.
     *
     * @param atMs time in ms
     */
    record LogDown(long atMs) implements HistoryEvent {}

    /**
     * The log takes appends again.
     *
     * @param atMs time in ms
     */
    record LogUp(long atMs) implements HistoryEvent {}

    /**
     * A submit was refused before it reached the scheduler because the log was down.
     *
     * @param atMs time in ms
     * @param job the job
     */
    record SubmitDeferred(long atMs, JobId job) implements HistoryEvent {}

    /**
     * The scheduler was given a job.
     *
     * @param atMs time in ms
     * @param job the job with its true figures
     * @param originalId the job that the caller first submitted; differs from the job's id after a retried refusal
     * @param firstSubmitMs time in ms of the caller's first submit
     */
    record JobSubmitted(long atMs, TraceJob job, JobId originalId, long firstSubmitMs) implements HistoryEvent {

        /**
         * The job's declaration.
         *
         * @return the declaration
         */
        public JobSpec spec() {
            return job.spec();
        }
    }

    /**
     * The caller cancelled.
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
     * @param placements where its parts go
     * @param lent whether the scheduler counts it as lent
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
     * The scheduler counts a running attempt within its workspace's guarantee from now on.
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
     * Physical: one part no longer runs.
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
     * @param code why
     */
    record StopDecided(long atMs, AttemptId attempt, ReasonCode code) implements HistoryEvent {}

    /**
     * The scheduler was told that nothing of an attempt holds capacity any more.
     *
     * @param atMs time in ms
     * @param attempt the attempt
     */
    record AttemptClosed(long atMs, AttemptId attempt) implements HistoryEvent {}

    /**
     * The caller received the whole result.
     *
     * @param atMs time in ms
     * @param job the job
     */
    record ResultDelivered(long atMs, JobId job) implements HistoryEvent {}

    /**
     * The caller was told that there will be no result.
     *
     * @param atMs time in ms
     * @param job the job
     * @param ran whether the caller was told that it may have run
     * @param code why
     */
    record JobEndReported(long atMs, JobId job, boolean ran, ReasonCode code) implements HistoryEvent {}

    /**
     * At the end of the replay a job had no outcome.
     *
     * @param atMs time in ms
     * @param job the job
     * @param running whether an attempt of it was starting, running or stopping
     * @param waiting the scheduler's reason why it waits
     */
    record JobOpenAtEnd(long atMs, JobId job, boolean running, Optional<ReasonCode> waiting) implements HistoryEvent {}
}
