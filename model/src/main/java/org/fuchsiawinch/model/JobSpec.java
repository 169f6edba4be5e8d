package org.fuchsiawinch.model;

import java.util.OptionalLong;

/**
 * A job as its caller declares it.
 *
 * @param id the job
 * @param workspace the workspace that pays for it
 * @param kind kind of work within the workspace, for the correction of estimates
 * @param shape what the gang takes
 * @param declaredRunMs declared run time in ms on a worker of speed 1.0
 * @param idempotent whether the work may be run again after it may have begun
 * @param checkpointable whether a stopped run can be resumed from a checkpoint
 * @param urgency order of start within the workspace
 * @param deadlineMs time in ms since the epoch after which the answer is of no use
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
     * Says whether the job may be stopped and started again without harm.
     *
     * @return true if it is idempotent or can be checkpointed
     */
    public boolean reclaimable() {
        return idempotent || checkpointable;
    }
}
