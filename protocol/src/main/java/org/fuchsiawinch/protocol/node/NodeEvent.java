package org.fuchsiawinch.protocol.node;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.fold.VoidCode;
import org.fuchsiawinch.protocol.record.RecordId;

/** Event of a node that is reported to operators. */
public sealed interface NodeEvent {

    /**
     * This node claimed a cell and read its claim back from the log.
     *
     * @param cell the cell
     * @param epoch epoch of the claim
     */
    record CellTaken(CellId cell, long epoch) implements NodeEvent {}

    /**
     * This node no longer owns the cell: another node claimed it, or this node released it.
     *
     * @param cell the cell
     * @param epoch current epoch of the cell
     */
    record CellLost(CellId cell, long epoch) implements NodeEvent {}

    /**
     * The owner has completed its inventory of workers and starts to schedule.
     *
     * @param cell the cell
     * @param epoch epoch of the claim
     * @param workers number of workers that replied
     * @param inDoubt number of workers that did not
     */
    record CellActive(CellId cell, long epoch, int workers, int inDoubt) implements NodeEvent {}

    /**
     * The scheduler took a decision.
     *
     * @param decision the decision
     */
    record Decided(Decision decision) implements NodeEvent {}

    /**
     * A record written by this node is void.
     *
     * @param id id of the record
     * @param code why it is void
     */
    record OwnRecordVoid(RecordId id, VoidCode code) implements NodeEvent {}

    /**
     * The log dropped records that this node has not read. The node waits for a complete snapshot.
     *
     * @param wantedOffset offset of the next record that the node expected
     * @param firstOffset offset of the oldest record in the log
     */
    record LogGapFound(long wantedOffset, long firstOffset) implements NodeEvent {}

    /**
     * The state was loaded from a snapshot.
     *
     * @param upToOffset offset of the first record that the snapshot does not include
     * @param jobs number of jobs in the snapshot
     */
    record SnapshotLoaded(long upToOffset, int jobs) implements NodeEvent {}

    /**
     * A worker does not reply.
     *
     * @param worker the worker
     */
    record WorkerSilent(WorkerId worker) implements NodeEvent {}

    /**
     * A document version came into force on this node.
     *
     * @param version the version
     */
    record DocumentInForce(int version) implements NodeEvent {}
}
