package org.fuchsiawinch.core;

/** A mechanism of the scheduler that can be switched off, for trials and for tests that prove its effect. */
public enum SchedulerFeature {
    /** Counts all five resources of a worker, not accelerators alone. */
    ALL_RESOURCES,
    /** Places the parts of a gang within its adjacency domain. */
    ADJACENCY,
    /** Stops the rest of a gang when a part is lost. */
    GANG_STOP,
    /** Keeps concrete capacity for the unused guarantees of all workspaces. */
    GUARANTEE_PROTECTION,
    /** Stops lent work when a workspace claims its guarantee. */
    RECLAIM,
    /** Prefers the victims that lose the least work. */
    CHEAPEST_VICTIMS,
    /** Turns lent work into guaranteed work when its own guarantee has room. */
    PROMOTION,
    /** Reserves capacity for the first job in order that does not fit. */
    RESERVATION,
    /** Starts later jobs ahead of a reserved one if they do not delay it. */
    BACKFILL,
    /** Moves checkpointable work to make room for a large shape. */
    DEFRAGMENTATION,
    /** Scores placements and orders jobs by the document's objective. */
    OBJECTIVE,
    /** Corrects declared run times and memory by what was seen. */
    CORRECTION,
    /** Ends or restarts work that takes more time or memory than the policy bears. */
    OVERRUNS,
    /** Refuses at submit what no worker could ever hold. */
    IMPOSSIBLE_CHECK,
    /** Quarantines workers that fail different jobs. */
    QUARANTINE,
    /** Ends jobs that fail on several workers where others succeed. */
    POISON,
    /** Holds workspaces to their accelerator quotas. */
    QUOTA,
    /** Bounds the queues. */
    ADMISSION,
    /** Checks spending limits before each start. */
    SPEND_LIMIT,
    /** Adds estimates, prices and alternatives to reasons. */
    REASONS
}
