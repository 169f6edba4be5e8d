package org.fuchsiawinch.workflow.owner;

/**
 * Figures that the owner of a cell works with.
 *
 * @param node name of the node
 * @param leaseMs length of a worker's lease in ms; the platform's longest lease is the upper bound
 * @param busyWaitMs longest wait of a renewal at a worker that runs something, in ms
 * @param idleWaitMs longest wait of a renewal at an idle worker, in ms
 * @param heartbeatMs time without a record after which the owner appends one, in ms
 * @param remoteFactor how many times as long a task takes away from its data or its gang's rack
 * @param retentionMs time that an ended job stays known, in ms
 * @param headroomShare share of the workers that work which can wait leaves empty for urgent work
 */
public record OwnerSettings(
        String node,
        long leaseMs,
        long busyWaitMs,
        long idleWaitMs,
        long heartbeatMs,
        double remoteFactor,
        long retentionMs,
        double headroomShare) {

    /** Share by which a worker's clock may be slow, as the platform states. */
    public static final double CLOCK_DRIFT = 0.02;

    /** Longest renewal wait in ms; a renewal has to leave most of the lease unused. */
    private static final long BUSY_WAIT_MS = 1000;

    /** The longest wait that the workers allow, in ms. */
    private static final long IDLE_WAIT_MS = 2000;

    /** A third of the silence after which another node takes over, in ms. */
    private static final long HEARTBEAT_MS = 400;

    /** Longer leases delay the rerun of work on a lost worker; shorter ones lapse during a change of owner. */
    private static final long LEASE_MS = 6000;

    /** Share of the workers; an eighth gave the best days in the offline model. */
    private static final double HEADROOM_SHARE = 0.125;

    /** Late retries of a caller arrive within seconds; a removed job would be run again by one. */
    private static final long RETENTION_SLACK_MS = 60_000;

    /**
     * Gives the figures that follow from the platform's bounds.
     *
     * @param node name of the node
     * @param longestLeaseMs the platform's longest lease in ms
     * @param remoteFactor how many times as long a task takes away from its data
     * @param statusMs time that an ended job has to stay known, in ms
     * @return the settings
     */
    public static OwnerSettings of(String node, long longestLeaseMs, double remoteFactor, long statusMs) {
        return new OwnerSettings(
                node,
                Math.min(LEASE_MS, longestLeaseMs),
                BUSY_WAIT_MS,
                IDLE_WAIT_MS,
                HEARTBEAT_MS,
                remoteFactor,
                statusMs + RETENTION_SLACK_MS,
                HEADROOM_SHARE);
    }
}
