package org.fuchsiawinch.replay.check;

/** Promise that every history must keep. */
public enum Promise {
    /** The parts on a worker never exceed its capacity in any of the five resources. */
    NO_OVERCOMMIT,
    /** No part of a gang runs without the other parts for longer than the protocol allows. */
    GANG_WHOLE,
    /** A job covered by its workspace's unused guarantee starts within the reclaim bound. */
    GUARANTEE_RECLAIMABLE,
    /** A job reported to its caller as not run did not run. */
    NOT_RUN_IS_TRUE,
    /** A non-idempotent job runs at most once; resuming from a checkpoint is the same run. */
    AT_MOST_ONCE,
    /** No work is placed on a worker that is leaving, unreachable or lost. */
    NO_WORK_ON_CLOSED_WORKER,
    /** Each job has exactly one outcome, or runs, or waits for a stated reason. */
    ONE_ANSWER,
    /** No workspace spends more than its limit in a period. */
    SPEND_WITHIN_LIMIT
}
