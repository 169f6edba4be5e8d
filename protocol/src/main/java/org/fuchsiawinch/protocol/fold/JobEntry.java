package org.fuchsiawinch.protocol.fold;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.JobSnapshot;

/**
 * State of a job as derived from the log. Immutable; each record of the job leads to a new entry.
 *
 * @param cell the cell that runs the job
 * @param spec the job's specification
 * @param payload input data of the job; empty once the job is finished
 * @param payloadSha256 SHA-256 digest of the payload in lower-case hex; kept after the payload is dropped
 * @param submittedMs Unix time in ms at which its {@code JobAccepted} record was written
 * @param status current status
 * @param attemptNumber number of the current or last attempt; 0 before the first
 * @param placements placements of the current attempt; empty while waiting
 * @param lent whether the current attempt runs on lent capacity
 * @param attemptMs Unix time in ms at which the current attempt was placed; 0 while waiting
 * @param everReleased whether any attempt was released
 * @param resumable whether the last released attempt ended with its progress saved
 * @param cancelled whether its caller cancelled it
 * @param finishedMs Unix time in ms at which its outcome was written; 0 until then
 * @param outcome the outcome; empty until the job is finished
 */
public record JobEntry(
        CellId cell,
        JobSpec spec,
        byte[] payload,
        String payloadSha256,
        long submittedMs,
        JobStatus status,
        int attemptNumber,
        List<Placement> placements,
        boolean lent,
        long attemptMs,
        boolean everReleased,
        boolean resumable,
        boolean cancelled,
        long finishedMs,
        Optional<JobOutcome> outcome) {

    /**
     * Creates the entry of a newly accepted job.
     *
     * @param cell the cell
     * @param spec the job's specification
     * @param payload input data of the job
     * @param nowMs Unix time in ms at which its {@code JobAccepted} record was written
     * @return the entry
     */
    public static JobEntry accepted(CellId cell, JobSpec spec, byte[] payload, long nowMs) {
        Builder entry = new Builder();
        entry.cell = cell;
        entry.spec = spec;
        entry.payload = payload;
        entry.payloadSha256 = Sha256.hex(payload);
        entry.submittedMs = nowMs;
        return entry.build();
    }

    /**
     * Returns the id of the current attempt, or of the last one if none is under way.
     *
     * @return the id; its number is 0 before the first attempt
     */
    public AttemptId attempt() {
        return new AttemptId(spec.id(), attemptNumber);
    }

    /**
     * Returns whether another attempt may be placed: no attempt was released yet, the job is idempotent, or the next
     * attempt resumes from saved progress.
     *
     * @return false if another attempt could run non-idempotent work twice
     */
    public boolean repeatable() {
        return !everReleased || spec.idempotent() || (spec.checkpointable() && resumable);
    }

    /**
     * Returns whether a request has the same specification and payload as this job.
     *
     * @param other the requested job
     * @param digest SHA-256 digest of the requested payload in lower-case hex
     * @return false if the job id was reused for a different job
     */
    public boolean matches(JobSpec other, String digest) {
        return spec.equals(other) && payloadSha256.equals(digest);
    }

    JobSnapshot snapshot() {
        return new JobSnapshot(
                cell,
                spec,
                payload,
                payloadSha256,
                submittedMs,
                status.name(),
                attemptNumber,
                placements,
                lent,
                attemptMs,
                everReleased,
                resumable,
                cancelled,
                finishedMs,
                outcome);
    }

    static JobEntry of(JobSnapshot job) {
        return new JobEntry(
                job.cell(),
                job.spec(),
                job.payload(),
                job.payloadSha256(),
                job.submittedMs(),
                JobStatus.valueOf(job.status()),
                job.attemptNumber(),
                job.placements(),
                job.lent(),
                job.attemptMs(),
                job.everReleased(),
                job.resumable(),
                job.cancelled(),
                job.finishedMs(),
                job.outcome());
    }

    JobEntry withPlacement(List<Placement> newPlacements, boolean onLentCapacity, long nowMs) {
        Builder entry = new Builder(this);
        entry.status = JobStatus.PLACED;
        entry.attemptNumber = attemptNumber + 1;
        entry.placements = newPlacements;
        entry.lent = onLentCapacity;
        entry.attemptMs = nowMs;
        return entry.build();
    }

    JobEntry withRelease() {
        Builder entry = new Builder(this);
        entry.status = JobStatus.RELEASED;
        entry.everReleased = true;
        entry.resumable = false;
        return entry.build();
    }

    JobEntry withAttemptEnded(boolean checkpointed) {
        Builder entry = new Builder(this);
        entry.resumable = status == JobStatus.RELEASED ? checkpointed : resumable;
        entry.status = JobStatus.WAITING;
        entry.placements = List.of();
        entry.lent = false;
        entry.attemptMs = 0;
        return entry.build();
    }

    JobEntry withCancellation() {
        Builder entry = new Builder(this);
        entry.cancelled = true;
        return entry.build();
    }

    JobEntry withOutcome(JobOutcome finalOutcome, long nowMs) {
        Builder entry = new Builder(this);
        entry.payload = new byte[0];
        entry.status = JobStatus.FINISHED;
        entry.finishedMs = nowMs;
        entry.outcome = Optional.of(finalOutcome);
        return entry.build();
    }

    /** Builder of an entry, which starts empty or as a copy of an existing entry. */
    private static final class Builder {
        private CellId cell;
        private JobSpec spec;
        private byte[] payload;
        private String payloadSha256;
        private long submittedMs;
        private JobStatus status = JobStatus.WAITING;
        private int attemptNumber;
        private List<Placement> placements = List.of();
        private boolean lent;
        private long attemptMs;
        private boolean everReleased;
        private boolean resumable;
        private boolean cancelled;
        private long finishedMs;
        private Optional<JobOutcome> outcome = Optional.empty();

        private Builder() {}

        private Builder(JobEntry from) {
            cell = from.cell;
            spec = from.spec;
            payload = from.payload;
            payloadSha256 = from.payloadSha256;
            submittedMs = from.submittedMs;
            status = from.status;
            attemptNumber = from.attemptNumber;
            placements = from.placements;
            lent = from.lent;
            attemptMs = from.attemptMs;
            everReleased = from.everReleased;
            resumable = from.resumable;
            cancelled = from.cancelled;
            finishedMs = from.finishedMs;
            outcome = from.outcome;
        }

        private JobEntry build() {
            return new JobEntry(
                    cell,
                    spec,
                    payload,
                    payloadSha256,
                    submittedMs,
                    status,
                    attemptNumber,
                    placements,
                    lent,
                    attemptMs,
                    everReleased,
                    resumable,
                    cancelled,
                    finishedMs,
                    outcome);
        }
    }
}
