package org.fuchsiawinch.protocol.fold;

import java.util.Optional;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.record.CellSnapshot;

/**
 * State of a cell as derived from the log.
 *
 * @param epoch current epoch; 0 before the first claim
 * @param owner the owner; empty if the cell was never claimed or was released
 * @param lastHeardOffset log offset of the owner's last claim or heartbeat record in this epoch; -1 before the
 *     first claim
 * @param heldMs writer's Unix time in ms of the owner's last claim or heartbeat record in this epoch; 0 before the
 *     first claim
 * @param earlierHeldMs latest such time of earlier owners that did not release the cell; 0 if there is none
 * @param releasedMs writer's Unix time in ms at which an owner last released the cell; 0 if none did
 */
public record CellEntry(
        long epoch, Optional<NodeId> owner, long lastHeardOffset, long heldMs, long earlierHeldMs, long releasedMs) {

    /** State of a cell that no node has claimed. */
    public static final CellEntry UNCLAIMED = new CellEntry(0, Optional.empty(), -1, 0, 0, 0);

    /**
     * Returns whether the writer of a record owns the cell in the epoch that the record carries.
     *
     * @param writer the writer
     * @param claimedEpoch epoch that the record carries
     * @return true if both the owner and the epoch match
     */
    public boolean ownedBy(NodeId writer, long claimedEpoch) {
        return epoch == claimedEpoch && owner.filter(writer::equals).isPresent();
    }

    CellSnapshot snapshot(CellId cell) {
        return new CellSnapshot(cell, epoch, owner, lastHeardOffset, heldMs, earlierHeldMs, releasedMs);
    }

    static CellEntry of(CellSnapshot cell) {
        return new CellEntry(
                cell.epoch(),
                cell.owner(),
                cell.lastHeardOffset(),
                cell.heldMs(),
                cell.earlierHeldMs(),
                cell.releasedMs());
    }

    CellEntry withClaim(long newEpoch, NodeId writer, long offset, long nowMs) {
        long earlierOwnersMs = owner.isPresent() ? Math.max(earlierHeldMs, heldMs) : earlierHeldMs;
        return new CellEntry(newEpoch, Optional.of(writer), offset, nowMs, earlierOwnersMs, releasedMs);
    }

    CellEntry withHeartbeat(long offset, long nowMs) {
        return new CellEntry(epoch, owner, offset, Math.max(heldMs, nowMs), earlierHeldMs, releasedMs);
    }

    CellEntry withRelease(long nowMs) {
        return new CellEntry(
                epoch, Optional.empty(), lastHeardOffset, heldMs, earlierHeldMs, Math.max(releasedMs, nowMs));
    }
}
