package org.fuchsiawinch.workflow.owner;

import java.util.OptionalLong;

/**
 * Settings of the owner of a cell.
 *
 * @param node name of the node
 * @param leaseMs duration of a worker's lease in ms; at most the platform's longest lease
 * @param longestLeaseMs the platform's longest lease in ms, to which a worker cuts a longer one
 * @param leavingLeaseMs duration of a draining worker's lease in ms; bounds the wait after its exit
 * @param busyWorkerWaitMs maximum time in ms that a renewal waits at a worker with runs
 * @param idleWorkerWaitMs maximum time in ms that a renewal waits at an idle worker
 * @param heartbeatMs time in ms without a stored record after which the owner appends a heartbeat
 * @param remoteFactor factor by which a task's run time grows away from the rack of its data or its gang
 * @param retentionMs time in ms for which an ended job is kept
 * @param headroomShare share of the workers that units which can wait leave free for urgent units
 * @param drainBoundMs time in ms within which the drain of a data centre has to take effect; empty if there is no bound
 */
public record OwnerSettings(
        String node,
        long leaseMs,
        long longestLeaseMs,
        long leavingLeaseMs,
        long busyWorkerWaitMs,
        long idleWorkerWaitMs,
        long heartbeatMs,
        double remoteFactor,
        long retentionMs,
        double headroomShare,
        OptionalLong drainBoundMs) {

    /** Maximum share by which a worker's clock may run slow, as the platform states. */
    public static final double CLOCK_DRIFT = 0.02;

    /**
     * Time in ms since the last confirmed append for which an owner grants leases. Runs survive an outage of the store
     * of this length and one lease.
     */
    static final long MAX_STORE_SILENCE_MS = 4000;

    /** Wait of a renewal in ms at a worker with runs; short, so that most of the lease remains at the answer. */
    private static final long BUSY_WORKER_WAIT_MS = 1000;

    /** Wait of a renewal in ms at an idle worker; the maximum that workers allow. */
    private static final long IDLE_WORKER_WAIT_MS = 2000;

    /** Heartbeat interval in ms; a third of the silence after which another node takes over. */
    private static final long HEARTBEAT_MS = 400;

    /** Lease in ms. A longer one delays the rerun of a lost worker's runs; a shorter one expires during a takeover. */
    private static final long LEASE_MS = 6000;

    /** Lease in ms of a draining worker; a few renewals long. Its exit is certain only once the lease has expired. */
    private static final long LEAVING_LEASE_MS = 3000;

    /** Share of the workers kept free. A smaller one causes more preemptions; a larger one delays other units. */
    private static final double HEADROOM_SHARE = 0.125;

    /** Extra retention in ms. A caller's retry, which arrives within seconds, would run a removed job again. */
    private static final long RETENTION_SLACK_MS = 60_000;

    /**
     * Returns the settings that follow from the platform's bounds.
     *
     * @param node name of the node
     * @param longestLeaseMs the platform's longest lease in ms
     * @param remoteFactor factor by which a task's run time grows away from the rack of its data or its gang
     * @param statusMs time in ms for which the status of an ended job has to be available
     * @return the settings
     */
    public static OwnerSettings of(String node, long longestLeaseMs, double remoteFactor, long statusMs) {
        return new OwnerSettings(
                node,
                Math.min(LEASE_MS, longestLeaseMs),
                longestLeaseMs,
                Math.min(LEAVING_LEASE_MS, longestLeaseMs),
                BUSY_WORKER_WAIT_MS,
                IDLE_WORKER_WAIT_MS,
                HEARTBEAT_MS,
                remoteFactor,
                statusMs + RETENTION_SLACK_MS,
                HEADROOM_SHARE,
                OptionalLong.empty());
    }

    /**
     * Returns these settings with another bound on drains.
     *
     * @param boundMs time in ms within which the drain of a data centre has to take effect; empty if there is no bound
     * @return the settings
     */
    public OwnerSettings withDrainBound(OptionalLong boundMs) {
        return new OwnerSettings(
                node,
                leaseMs,
                longestLeaseMs,
                leavingLeaseMs,
                busyWorkerWaitMs,
                idleWorkerWaitMs,
                heartbeatMs,
                remoteFactor,
                retentionMs,
                headroomShare,
                boundMs);
    }
}
