package org.fuchsiawinch.protocol.record;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;

/**
 * State of a job in a snapshot.
 *
 * @param cell the cell that runs the job
 * @param spec the job's specification
 * @param payload input data of the job; empty once the job is finished
 * @param payloadSha256 SHA-256 digest of the payload in lower-case hex
 * @param submittedMs Unix time in ms at which its {@code JobAccepted} record was written
 * @param status name of its {@code JobStatus}
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
public record JobSnapshot(
        CellId cell,
        JobSpec spec,
        byte[] payload,
        String payloadSha256,
        long submittedMs,
        String status,
        int attemptNumber,
        List<Placement> placements,
        boolean lent,
        long attemptMs,
        boolean everReleased,
        boolean resumable,
        boolean cancelled,
        long finishedMs,
        Optional<JobOutcome> outcome) {

    /** Estimated encoded size of a job apart from its payload, answer and placements. */
    private static final int BASE_BYTES = 400;

    private static final int PLACEMENT_BYTES = 32;

    /**
     * Copies the list of placements.
     */
    public JobSnapshot {
        placements = List.copyOf(placements);
    }

    /**
     * Returns an estimate of the size of the encoded form.
     *
     * @return size in bytes
     */
    public int estimatedBytes() {
        int answer = outcome.filter(JobOutcome.Completed.class::isInstance)
                .map(completed -> ((JobOutcome.Completed) completed).answer().length)
                .orElse(0);
        return BASE_BYTES + payload.length + answer + placements.size() * PLACEMENT_BYTES;
    }
}
