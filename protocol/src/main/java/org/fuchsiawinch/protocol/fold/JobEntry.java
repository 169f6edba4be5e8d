package org.fuchsiawinch.protocol.fold;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.protocol.record.JobOutcome;

/**
 * A job by the log. Immutable; each record makes a new entry.
 *
 * @param cell the cell that runs it
 * @param spec the job
 * @param payload what the work is told
 * @param submittedMs time in ms since the epoch of its record
 * @param status where it stands
 * @param attemptNumber number of the current or last attempt; 0 before the first
 * @param placements placements of the current attempt; empty while waiting
 * @param lent whether the current attempt runs on lent capacity
 * @param attemptMs time in ms since the epoch of the current attempt's placement
 * @param everReleased whether any attempt was released
 * @param cancelled whether its caller cancelled it
 * @param finishedMs time in ms since the epoch of its outcome; 0 before
 * @param outcome how it ended
 */
public record JobEntry(
        CellId cell,
        JobSpec spec,
        byte[] payload,
        long submittedMs,
        JobStatus status,
        int attemptNumber,
        List<Placement> placements,
        boolean lent,
        long attemptMs,
        boolean everReleased,
        boolean cancelled,
        long finishedMs,
        Optional<JobOutcome> outcome) {

    /**
     * Makes the entry of a new job.
     *
     * @param cell the cell
     * @param spec the job
     * @param payload what the work is told
     * @param nowMs time in ms since the epoch of its record
     * @return the entry
     */
    public static JobEntry accepted(CellId cell, JobSpec spec, byte[] payload, long nowMs) {
        return new JobEntry(
                cell,
                spec,
                payload,
                nowMs,
                JobStatus.WAITING,
                0,
                List.of(),
                false,
                0,
                false,
                false,
                0,
                Optional.empty());
    }

    /**
     * Names the current attempt, or the last one.
     *
     * @return the attempt
     */
    public AttemptId attempt() {
        return new AttemptId(spec.id(), attemptNumber);
    }

    JobEntry placed(List<Placement> where, boolean onLent, long nowMs) {
        return new JobEntry(
                cell,
                spec,
                payload,
                submittedMs,
                JobStatus.PLACED,
                attemptNumber + 1,
                where,
                onLent,
                nowMs,
                everReleased,
                cancelled,
                0,
                outcome);
    }

    JobEntry released() {
        return new JobEntry(
                cell,
                spec,
                payload,
                submittedMs,
                JobStatus.RELEASED,
                attemptNumber,
                placements,
                lent,
                attemptMs,
                true,
                cancelled,
                0,
                outcome);
    }

    JobEntry waiting() {
        return new JobEntry(
                cell,
                spec,
                payload,
                submittedMs,
                JobStatus.WAITING,
                attemptNumber,
                List.of(),
                false,
                0,
                everReleased,
                cancelled,
                0,
                outcome);
    }

    JobEntry withCancel() {
        return new JobEntry(
                cell,
                spec,
                payload,
                submittedMs,
                status,
                attemptNumber,
                placements,
                lent,
                attemptMs,
                everReleased,
                true,
                0,
                outcome);
    }

    JobEntry finished(JobOutcome how, long nowMs) {
        return new JobEntry(
                cell,
                spec,
                new byte[0],
                submittedMs,
                JobStatus.FINISHED,
                attemptNumber,
                placements,
                lent,
                attemptMs,
                everReleased,
                cancelled,
                nowMs,
                Optional.of(how));
    }
}
