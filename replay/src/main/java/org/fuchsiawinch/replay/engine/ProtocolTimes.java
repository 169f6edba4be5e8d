package org.fuchsiawinch.replay.engine;

/** Delays and time bounds of the simulated protocols around the scheduler, in ms. */
public final class ProtocolTimes {

    /** Time from a decision to its read-back from the log. */
    public static final long APPEND_DELAY_MS = 40;

    /** Time from the read-back to the release of a gang whose workers are all reachable. */
    public static final long START_DELAY_MS = 100;

    /**
     * Interval for retrying the start of a gang with an unreachable worker and the departure of a leaving worker that
     * still runs gangs.
     */
    public static final long RETRY_INTERVAL_MS = 1_000;

    /** Time from a stop decision to its effect on reachable workers. */
    public static final long STOP_DELAY_MS = 60;

    /** Time from the end of a part until its report reaches the scheduler. */
    public static final long REPORT_DELAY_MS = 30;

    /** Time from the last heartbeat until the scheduler is notified that a worker is unreachable. */
    public static final long HEARTBEAT_TIMEOUT_MS = 3_000;

    /** Time from the last renewal until a worker's lease expires; everything on the worker has stopped by then. */
    public static final long LEASE_MS = 10_000;

    /** Lag of the platform's list of leaving VMs. */
    public static final long LEAVING_LAG_MS = 2_000;

    /** Duration of a worker probe. */
    public static final long PROBE_DURATION_MS = 1_000;

    /** Time from release until a task on a faulty worker fails. */
    public static final long FAULTY_WORKER_FAIL_DELAY_MS = 500;

    /** Longest time from release until a job that always fails does so. */
    public static final long POISON_JOB_FAIL_DELAY_MS = 2_000;

    /** Exclusive upper bound of the seeded jitter added to a delay. */
    public static final int JITTER_BOUND_MS = 40;

    /** Period after a log outage over which the callers that it affected spread their resubmissions. */
    public static final int RESUBMIT_SPREAD_MS = 5_000;

    /** Longest time for which some parts of a gang may run without the others: the lease of a lost worker and 5 s. */
    public static final long MAX_PARTIAL_GANG_MS = LEASE_MS + 5_000;

    /** Longest time after a worker goes down or starts to leave in which work may still be placed on it. */
    public static final long MAX_DOWN_DETECTION_MS = 5_000;

    private ProtocolTimes() {}
}
