package org.fuchsiawinch.protocol.record;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;

/**
 * A job in a snapshot.
 *
 * @param cell the cell that runs it
 * @param spec the job
 * @param payload what the work is told; empty once finished
 * @param payloadSha256 digest of the payload, lower-case hex
 * @param submittedMs time in ms since the epoch of its record
 * @param status name of its status
 * @param attemptNumber number of the current or last attempt
 * @param placements placements of the current attempt
 * @param lent whether the current attempt runs on lent capacity
 * @param attemptMs time in ms since the epoch of the current attempt's placement
 * @param everReleased whether any attempt was released
 * @param resumable whether the last released attempt ended with its progress saved
 * @param cancelled whether its caller cancelled it
 * @param finishedMs time in ms since the epoch of its outcome; 0 before
 * @param outcome how it ended
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

    private static final int BASE_BYTES = 400;
    private static final int PLACEMENT_BYTES = 32;

    /**
     * Copies the list.
     */
    public JobSnapshot {
        placements = List.copyOf(placements);
    }

    /**
     * Estimates the size of the encoded form.
     *
     * @return size in bytes
     */
    public int estimatedBytes() {
        int answer = outcome.filter(JobOutcome.Completed.class::isInstance)
                .map(how -> ((JobOutcome.Completed) how).answer().length)
                .orElse(0);
        return BASE_BYTES + payload.length + answer + placements.size() * PLACEMENT_BYTES;
    }
}
