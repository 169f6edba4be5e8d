package org.fuchsiawinch.model;

import java.util.OptionalLong;

/**
 * A job as its caller declares it.
 *
 * @param id the job
 * @param workspace the workspace that the job is charged to
 * @param kind kind of work within the workspace, by which estimates are corrected
 * @param shape size and placement constraint of the gang
 * @param declaredRunMs declared run time in ms on a worker of speed 1.0
 * @param idempotent whether the work may be run again after it may have begun
 * @param checkpointable whether a stopped run can be resumed from a checkpoint
 * @param urgency start priority within the workspace
 * @param deadlineMs time in ms since the epoch after which the answer is useless; empty for none
 */
public record JobSpec(
        JobId id,
        WorkspaceId workspace,
        String kind,
        Shape shape,
        long declaredRunMs,
        boolean idempotent,
        boolean checkpointable,
        Urgency urgency,
        OptionalLong deadlineMs) {

    /**
     * Returns whether capacity may be reclaimed from the job by stopping it and starting it again later.
     *
     * @return true if it is idempotent or can be checkpointed
     */
    public boolean reclaimable() {
        return idempotent || checkpointable;
    }
}
