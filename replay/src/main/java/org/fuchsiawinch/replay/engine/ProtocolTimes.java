package org.fuchsiawinch.replay.engine;

/** Delays of the protocols around the scheduler, in ms. */
public final class ProtocolTimes {

    /** Time from a decision to its read-back from the log. */
    public static final long APPEND_MS = 40;

    /** Time from read-back to the release of a gang whose parts are all confirmed. */
    public static final long START_MS = 100;

    /** Time after which the start of a gang with an unconfirmed part is tried again. */
    public static final long START_RETRY_MS = 1_000;

    /** Time from a stop decision to its effect on reachable workers. */
    public static final long STOP_MS = 60;

    /** Time from a part's end to the scheduler's knowledge of it. */
    public static final long REPORT_MS = 30;

    /** Time from the last heartbeat to the finding that a worker is in doubt. */
    public static final long HEARTBEAT_TIMEOUT_MS = 3_000;

    /** Time from the last renewal to the lapse of a worker's lease; what ran there has stopped. */
    public static final long LEASE_MS = 10_000;

    /** Time by which the list of leaving VMs lags. */
    public static final long LEAVING_LAG_MS = 2_000;

    /** Time that a probe of a worker takes. */
    public static final long PROBE_MS = 1_000;

    /** Time after which a task on a faulty worker fails. */
    public static final long FAULTY_FAIL_MS = 500;

    /** Time after which a job that can't run fails. */
    public static final long POISON_FAIL_MS = 2_000;

    /** Spread of the seeded jitter that each delay may get on top. */
    public static final int JITTER_MS = 40;

    /** Spread over which callers that were refused during an outage submit again. */
    public static final int RESUBMIT_SPREAD_MS = 5_000;

    /** Longest time in which a gang that lost a part may have other parts running. */
    public static final long GANG_WINDOW_MS = LEASE_MS + 5_000;

    /** Longest time from the start of a worker's leaving to the last decision that places work there. */
    public static final long LEAVING_BOUND_MS = 5_000;

    private ProtocolTimes() {}
}
