package org.fuchsiawinch.protocol.node;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.fold.VoidCode;
import org.fuchsiawinch.protocol.record.RecordId;

/** Something that operators want to know. */
public sealed interface NodeEvent {

    /**
     * This node claimed a cell and read its claim back.
     *
     * @param cell the cell
     * @param epoch its epoch
     */
    record CellTaken(CellId cell, long epoch) implements NodeEvent {}

    /**
     * Another node owns the cell from here on, or this node gave it up.
     *
     * @param cell the cell
     * @param epoch the new epoch
     */
    record CellLost(CellId cell, long epoch) implements NodeEvent {}

    /**
     * The owner has taken inventory and schedules.
     *
     * @param cell the cell
     * @param epoch its epoch
     * @param workers workers that answered
     * @param inDoubt workers that did not
     */
    record CellActive(CellId cell, long epoch, int workers, int inDoubt) implements NodeEvent {}

    /**
     * A decision was taken.
     *
     * @param decision the decision
     */
    record Decided(Decision decision) implements NodeEvent {}

    /**
     * An own record is void.
     *
     * @param id the record
     * @param code why
     */
    record OwnRecordVoid(RecordId id, VoidCode code) implements NodeEvent {}

    /**
     * Records were dropped from the log that this node has not read; it waits for a whole snapshot.
     *
     * @param wantedOffset offset that it would have read next
     * @param firstOffset offset of the oldest record that is kept
     */
    record LogGapFound(long wantedOffset, long firstOffset) implements NodeEvent {}

    /**
     * The state was taken over from a snapshot.
     *
     * @param upToOffset offset of the first record that the snapshot does not contain
     * @param jobs number of jobs in it
     */
    record SnapshotLoaded(long upToOffset, int jobs) implements NodeEvent {}

    /**
     * A worker does not answer.
     *
     * @param worker the worker
     */
    record WorkerSilent(WorkerId worker) implements NodeEvent {}

    /**
     * A document version is in force on this node.
     *
     * @param version the version
     */
    record DocumentInForce(int version) implements NodeEvent {}
}
