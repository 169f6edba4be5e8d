package org.fuchsiawinch.core;

/** Kinds of reasons for decisions and waits. */
public enum ReasonCode {
    /** Started within the workspace's own guarantee. */
    START_GUARANTEED,
    /** Started on capacity that no guarantee needs. */
    START_SPARE,
    /** Started on capacity lent from an unused guarantee. */
    START_LENT,
    /**
     * Started ahead of a job with a reservation without delaying it: ends before the reserved start or uses other
     * capacity.
     */
    START_BACKFILL,
    /** A lent attempt now counts toward its workspace's guarantee and can no longer be reclaimed. */
    PROMOTED_TO_GUARANTEE,
    /** Stopped to free capacity for a workspace's guarantee. */
    STOP_RECLAIM,
    /** Stopped to be moved to other workers so that a larger shape fits. */
    STOP_DEFRAGMENT,
    /** Stopped because the caller cancelled the job. */
    STOP_CANCELLED,
    /** Stopped because a part of the gang failed or its worker was lost. */
    STOP_GANG_BROKEN,
    /** Stopped because it ran far longer than the corrected estimate. */
    STOP_TIME_OVERRUN,
    /** Stopped because it used far more memory than granted. */
    STOP_MEMORY_OVERRUN,
    /** Ended: cancelled by the caller. */
    END_CANCELLED,
    /** Ended: no known worker, rack or data centre can hold the shape, even when empty. */
    END_IMPOSSIBLE_SHAPE,
    /** Ended: needs more accelerators than the workspace's quota. */
    END_OVER_QUOTA,
    /** Ended: the workspace is not in the document. */
    END_UNKNOWN_WORKSPACE,
    /** Ended: its worst-case cost alone exceeds the spending limit. */
    END_OVER_SPEND_LIMIT,
    /** Ended: the workspace's queue is full; the caller may retry. */
    END_WORKSPACE_QUEUE_FULL,
    /** Ended: the queues of all workspaces together are full; the caller may retry. */
    END_SYSTEM_QUEUE_FULL,
    /** Ended: failed on several workers that appear healthy, or too often in total. */
    END_POISON,
    /** Ended: a non-idempotent attempt may have begun and was interrupted, so it is not repeated. */
    END_BROKEN_NOT_REPEATABLE,
    /** Ended: its deadline passed before it started. */
    END_DEADLINE,
    /** Waits: no free capacity for the shape. */
    WAIT_CAPACITY,
    /** Waits: a start would leave another workspace's guarantee without capacity. */
    WAIT_PROTECTS_GUARANTEE,
    /** Waits: a start would delay a larger job that has a reservation. */
    WAIT_RESERVATION,
    /** Waits: a start would exceed the workspace's accelerator quota. */
    WAIT_QUOTA,
    /** Waits: committed spending plus the job's worst-case cost would exceed the limit. */
    WAIT_SPEND_LIMIT,
    /** Waits: capacity is being reclaimed for the job. */
    WAIT_RECLAIM,
    /** Waits: the job must not be repeated, so it must not run on lent capacity. */
    WAIT_NOT_ON_LENT,
    /** Several different jobs failed on a worker. */
    WORKER_FAILS_JOBS,
    /** A quarantined worker is due for a probe. */
    WORKER_PROBE_DUE,
    /** The remaining workers cannot hold a guaranteed shape. */
    GUARANTEE_SHAPE_LOST
}
