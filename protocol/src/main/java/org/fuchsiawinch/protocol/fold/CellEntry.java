package org.fuchsiawinch.protocol.fold;

import java.util.Optional;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.record.CellSnapshot;

/**
 * A cell by the log.
 *
 * @param epoch present epoch; 0 before the first claim
 * @param owner its owner; empty if it was never claimed or was given up
 * @param lastHeardOffset offset of the owner's last record in this epoch
 * @param heldMs writer's time in ms since the epoch of the owner's last sign of life in this epoch
 * @param earlierHeldMs the same of earlier epochs that were not given up
 * @param releasedMs writer's time in ms since the epoch at which an earlier owner last gave the cell up
 */
public record CellEntry(
        long epoch, Optional<NodeId> owner, long lastHeardOffset, long heldMs, long earlierHeldMs, long releasedMs) {

    /** A cell that nobody has claimed. */
    public static final CellEntry UNCLAIMED = new CellEntry(0, Optional.empty(), -1, 0, 0, 0);

    /**
     * Says whether a writer owns the cell in the given epoch.
     *
     * @param writer the writer
     * @param claimedEpoch the epoch that its record carries
     * @return true if both match
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

    CellEntry claimed(long newEpoch, NodeId writer, long offset, long nowMs) {
        long earlier = owner.isPresent() ? Math.max(earlierHeldMs, heldMs) : earlierHeldMs;
        return new CellEntry(newEpoch, Optional.of(writer), offset, nowMs, earlier, releasedMs);
    }

    CellEntry held(long offset, long nowMs) {
        return new CellEntry(epoch, owner, offset, Math.max(heldMs, nowMs), earlierHeldMs, releasedMs);
    }

    CellEntry released(long nowMs) {
        return new CellEntry(
                epoch, Optional.empty(), lastHeardOffset, heldMs, earlierHeldMs, Math.max(releasedMs, nowMs));
    }
}
