package org.fuchsiawinch.core;

/** Why a decision was taken, or why a job waits. */
public enum ReasonCode {
    /** Started within the workspace's own guarantee. */
    START_GUARANTEED,
    /** Started on capacity that no guarantee needs. */
    START_SPARE,
    /** Started on capacity lent from an unused guarantee. */
    START_LENT,
    /** Started ahead of a reserved job because it ends before the reservation or does not touch it. */
    START_BACKFILL,
    /** Lent work that now counts to its workspace's guarantee and is no longer reclaimed. */
    PROMOTED_TO_GUARANTEE,
    /** Stopped so that a workspace gets back its guaranteed shape. */
    STOP_RECLAIM,
    /** Stopped to be moved so that a larger shape fits. */
    STOP_DEFRAGMENT,
    /** Stopped because its caller cancelled. */
    STOP_CANCELLED,
    /** Stopped because one part was lost. */
    STOP_GANG_BROKEN,
    /** Stopped because it ran far longer than the corrected estimate. */
    STOP_TIME_OVERRUN,
    /** Stopped because it took far more memory than granted. */
    STOP_MEMORY_OVERRUN,
    /** Ended: cancelled by its caller. */
    END_CANCELLED,
    /** Ended: no worker, rack or data centre could ever hold the shape. */
    END_IMPOSSIBLE_SHAPE,
    /** Ended: larger than the workspace's quota. */
    END_OVER_QUOTA,
    /** Ended: the workspace is not in the document. */
    END_UNKNOWN_WORKSPACE,
    /** Ended: its worst-case cost alone exceeds the spending limit. */
    END_OVER_SPEND_LIMIT,
    /** Ended: the workspace's queue is full; may be retried. */
    END_WORKSPACE_QUEUE_FULL,
    /** Ended: all queues together are full; may be retried. */
    END_SYSTEM_QUEUE_FULL,
    /** Ended: failed on several different workers where other jobs succeed. */
    END_POISON,
    /** Ended: a non-idempotent attempt may have begun and was broken off. */
    END_BROKEN_NOT_REPEATABLE,
    /** Ended: its deadline passed before it started. */
    END_DEADLINE,
    /** Waits: no free capacity of the shape. */
    WAIT_CAPACITY,
    /** Waits: a start would leave another workspace's guarantee without a shape. */
    WAIT_PROTECTS_GUARANTEE,
    /** Waits: would delay a reserved larger job. */
    WAIT_RESERVATION,
    /** Waits: the workspace holds its full quota. */
    WAIT_QUOTA,
    /** Waits: committed and worst-case spend would pass the limit. */
    WAIT_SPEND_LIMIT,
    /** Waits: capacity is being reclaimed for it. */
    WAIT_RECLAIM,
    /** Waits: may not be repeated, so it must not run on lent capacity. */
    WAIT_NOT_ON_LENT,
    /** A worker failed several different jobs. */
    WORKER_FAILS_JOBS,
    /** A quarantined worker is due for a probe. */
    WORKER_PROBE_DUE,
    /** Workers were lost and a guarantee has no shape left. */
    GUARANTEE_SHAPE_LOST
}
