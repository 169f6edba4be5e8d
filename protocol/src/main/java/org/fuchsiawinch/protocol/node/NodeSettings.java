package org.fuchsiawinch.protocol.node;

import java.util.Set;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.ProtocolFeature;

/**
 * Settings of the node state machine. Immutable.
 *
 * @param node id of this process
 * @param cell the cell that the node competes to own
 * @param heartbeatIntervalMs time in ms between the owner's heartbeat records in the log
 * @param ownerTimeoutMs time in ms without a heartbeat record of the owner after which another node claims the cell
 * @param claimRank rank of this node among the nodes, from 0; a node delays its claim by one heartbeat interval for
 *     each rank so that claims rarely collide
 * @param renewIntervalMs time in ms between renewals of a worker's leases
 * @param leaseMs duration in ms of a lease granted to a worker
 * @param clockDriftMs upper bound in ms on the difference between two clocks over the duration of a lease
 * @param renewHorizonMs time in ms after its last heartbeat record during which an owner grants leases; log outages up
 *     to this long stop no work
 * @param listLagMs upper bound in ms on the lag of the platform's list of workers
 * @param startTimeoutMs time in ms from the placement of an attempt to the time by which workers must have accepted its
 *     parts
 * @param inventoryTimeoutMs longest time in ms that a new owner waits for replies of all workers before it schedules
 *     with those that replied
 * @param snapshotIntervalMs time in ms between snapshots; must be well below the log's retention
 * @param maxBatchRecords largest number of records in one append
 * @param maxPendingRecords number of unacknowledged records from which new jobs are refused
 * @param features enabled safety mechanisms
 */
public record NodeSettings(
        NodeId node,
        CellId cell,
        long heartbeatIntervalMs,
        long ownerTimeoutMs,
        int claimRank,
        long renewIntervalMs,
        long leaseMs,
        long clockDriftMs,
        long renewHorizonMs,
        long listLagMs,
        long startTimeoutMs,
        long inventoryTimeoutMs,
        long snapshotIntervalMs,
        int maxBatchRecords,
        int maxPendingRecords,
        Set<ProtocolFeature> features) {

    /**
     * Copies the set of features.
     */
    public NodeSettings {
        features = Set.copyOf(features);
    }

    /**
     * Returns the default settings.
     *
     * @param node id of the process
     * @param claimRank rank of the node among the nodes, from 0
     * @return the settings
     */
    public static NodeSettings defaults(NodeId node, int claimRank) {
        return new NodeSettings(
                node,
                new CellId("main"),
                500,
                2000,
                claimRank,
                1000,
                5000,
                250,
                4_500_000,
                5000,
                2000,
                1500,
                900_000,
                64,
                4096,
                ProtocolFeature.defaults());
    }

    /**
     * Returns these settings with other safety mechanisms.
     *
     * @param enabled the enabled safety mechanisms
     * @return the changed settings
     */
    public NodeSettings withFeatures(Set<ProtocolFeature> enabled) {
        return with(renewHorizonMs, snapshotIntervalMs, enabled);
    }

    /**
     * Returns these settings with another renewal horizon.
     *
     * @param horizonMs the horizon in ms
     * @return the changed settings
     */
    public NodeSettings withRenewHorizonMs(long horizonMs) {
        return with(horizonMs, snapshotIntervalMs, features);
    }

    /**
     * Returns these settings with another heartbeat interval, owner timeout and lease duration.
     *
     * @param newHeartbeatIntervalMs time in ms between the owner's heartbeat records
     * @param newOwnerTimeoutMs time in ms without a heartbeat record after which another node claims the cell
     * @param newLeaseMs duration in ms of a lease granted to a worker
     * @return the changed settings
     */
    public NodeSettings withIntervals(long newHeartbeatIntervalMs, long newOwnerTimeoutMs, long newLeaseMs) {
        return new NodeSettings(
                node,
                cell,
                newHeartbeatIntervalMs,
                newOwnerTimeoutMs,
                claimRank,
                renewIntervalMs,
                newLeaseMs,
                clockDriftMs,
                renewHorizonMs,
                listLagMs,
                startTimeoutMs,
                inventoryTimeoutMs,
                snapshotIntervalMs,
                maxBatchRecords,
                maxPendingRecords,
                features);
    }

    /**
     * Returns these settings with another snapshot interval.
     *
     * @param newIntervalMs time in ms between snapshots
     * @return the changed settings
     */
    public NodeSettings withSnapshotIntervalMs(long newIntervalMs) {
        return with(renewHorizonMs, newIntervalMs, features);
    }

    private NodeSettings with(long newHorizonMs, long newSnapshotIntervalMs, Set<ProtocolFeature> enabled) {
        return new NodeSettings(
                node,
                cell,
                heartbeatIntervalMs,
                ownerTimeoutMs,
                claimRank,
                renewIntervalMs,
                leaseMs,
                clockDriftMs,
                newHorizonMs,
                listLagMs,
                startTimeoutMs,
                inventoryTimeoutMs,
                newSnapshotIntervalMs,
                maxBatchRecords,
                maxPendingRecords,
                enabled);
    }
}
