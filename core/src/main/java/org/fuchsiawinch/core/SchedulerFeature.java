package org.fuchsiawinch.core;

/** A mechanism of the scheduler that can be disabled for trials and for tests of its effect. */
public enum SchedulerFeature {
    /** Checks all five resources of a worker, not only accelerators. */
    ALL_RESOURCES,
    /** Places the parts of a gang within its adjacency domain. */
    ADJACENCY,
    /** Stops the rest of a gang when a part fails or is lost. */
    GANG_STOP,
    /** Assigns concrete capacity to the unused guarantees of all workspaces. */
    GUARANTEE_PROTECTION,
    /** Stops lent work when a workspace uses its guarantee. */
    RECLAIM,
    /** Selects the victims that lose the least work. */
    CHEAPEST_VICTIMS,
    /** Promotes lent work to guaranteed work when its workspace's guarantee has unused capacity. */
    PROMOTION,
    /** Reserves capacity for the first large job in queue order that does not fit. */
    RESERVATION,
    /** Starts later jobs ahead of one that has a reservation if they do not delay it. */
    BACKFILL,
    /** Moves checkpointable work to other workers so that a large shape fits. */
    DEFRAGMENTATION,
    /** Scores placements and orders jobs by the document's objective. */
    OBJECTIVE,
    /** Corrects declared run times and memory by the ratios observed for earlier jobs. */
    CORRECTION,
    /** Ends or restarts work that exceeds the time or memory that the policy tolerates. */
    OVERRUNS,
    /** Refuses jobs at submission whose shape no known worker, rack or data centre can hold. */
    IMPOSSIBLE_CHECK,
    /** Quarantines workers on which several different jobs fail. */
    QUARANTINE,
    /** Ends jobs that fail on several workers that appear healthy, or too often in total. */
    POISON,
    /** Enforces the accelerator quotas of workspaces. */
    QUOTA,
    /** Enforces the queue bounds. */
    ADMISSION,
    /** Checks spending limits before each start. */
    SPEND_LIMIT,
    /** Adds estimates, prices and alternatives to reasons. */
    REASONS
}
