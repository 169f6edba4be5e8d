package org.fuchsiawinch.replay.check;

/** A promise that each history is judged against. */
public enum Promise {
    /** No worker is given more than it has, in any of the five resources. */
    NO_OVERCOMMIT,
    /** No part of a gang runs without the rest beyond the protocol's window. */
    GANG_WHOLE,
    /** A submit within its workspace's unused guarantee starts within the reclaim bound. */
    GUARANTEE_RECLAIMABLE,
    /** Work that its caller was told had not run did not run. */
    NOT_RUN_IS_TRUE,
    /** A non-idempotent job runs at most once; resuming from a checkpoint is the same run. */
    AT_MOST_ONCE,
    /** Nothing is placed on a worker that is leaving, in doubt or lost. */
    NO_WORK_ON_CLOSED_WORKER,
    /** Each job has exactly one outcome, or runs, or waits for a stated reason. */
    ONE_ANSWER,
    /** No workspace spends more than its limit in a period. */
    SPEND_WITHIN_LIMIT
}
