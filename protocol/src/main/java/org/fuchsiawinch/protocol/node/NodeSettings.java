package org.fuchsiawinch.protocol.node;

import java.util.Set;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.ProtocolFeature;

/**
 * Settings of the node state machine. Immutable.
 *
 * @param node id of this process
 * @param cell the cell that the node competes for
 * @param heartbeatIntervalMs time in ms between the owner's signs of life in the log
 * @param ownerTimeoutMs silence in ms of the owner after which another node claims the cell
 * @param claimRank order among the nodes; each rank waits one hold interval more before it claims
 * @param renewIntervalMs time in ms between lease renewals of a worker
 * @param leaseMs length in ms of a worker lease
 * @param clockDriftMs bound in ms on the difference of two clocks over a lease
 * @param renewHorizonMs time in ms after its last sign of life in the log during which an owner grants leases; outages
 *     of the log up to this length stop no work
 * @param listLagMs bound in ms on the lag of the platform's list of workers
 * @param startTimeoutMs time in ms from placement to the start-by time
 * @param inventoryTimeoutMs longest time in ms that a new owner waits for workers before it schedules with the others
 * @param snapshotIntervalMs time in ms between snapshots; well inside the log's retention
 * @param maxBatchRecords most records in one append
 * @param maxPendingRecords most records waiting for the log
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
     * Copies the set.
     */
    public NodeSettings {
        features = Set.copyOf(features);
    }

    /**
     * Gives the default settings.
     *
     * @param node id of the process
     * @param claimRank order among the nodes
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
     * Gives the same settings with other safety mechanisms.
     *
     * @param enabled the enabled ones
     * @return the changed settings
     */
    public NodeSettings withFeatures(Set<ProtocolFeature> enabled) {
        return with(renewHorizonMs, snapshotIntervalMs, enabled);
    }

    /**
     * Gives the same settings with another renewal horizon.
     *
     * @param horizonMs the horizon in ms
     * @return the changed settings
     */
    public NodeSettings withRenewHorizonMs(long horizonMs) {
        return with(horizonMs, snapshotIntervalMs, features);
    }

    /**
     * Gives the same settings with other intervals.
     *
     * @param holdMs time in ms between the owner's signs of life
     * @param claimMs silence in ms after which the cell is claimed
     * @param workerLeaseMs length in ms of a worker lease
     * @return the changed settings
     */
    public NodeSettings withIntervals(long holdMs, long claimMs, long workerLeaseMs) {
        return new NodeSettings(
                node,
                cell,
                holdMs,
                claimMs,
                claimRank,
                renewIntervalMs,
                workerLeaseMs,
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
     * Gives the same settings with another time between snapshots.
     *
     * @param everyMs the time in ms
     * @return the changed settings
     */
    public NodeSettings withSnapshotIntervalMs(long everyMs) {
        return with(renewHorizonMs, everyMs, features);
    }

    private NodeSettings with(long horizonMs, long snapshotMs, Set<ProtocolFeature> enabled) {
        return new NodeSettings(
                node,
                cell,
                heartbeatIntervalMs,
                ownerTimeoutMs,
                claimRank,
                renewIntervalMs,
                leaseMs,
                clockDriftMs,
                horizonMs,
                listLagMs,
                startTimeoutMs,
                inventoryTimeoutMs,
                snapshotMs,
                maxBatchRecords,
                maxPendingRecords,
                enabled);
    }
}
