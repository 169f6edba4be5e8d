package org.fuchsiawinch.protocol.fold;

import java.util.Optional;

import org.fuchsiawinch.model.NodeId;

/**
 * A cell by the log.
 *
 * @param epoch present epoch; 0 before the first claim
 * @param owner its owner; empty if it was never claimed or was given up
 * @param lastHeardOffset offset of the owner's last record in this epoch
 */
public record CellEntry(long epoch, Optional<NodeId> owner, long lastHeardOffset) {

    /** A cell that nobody has claimed. */
    public static final CellEntry UNCLAIMED = new CellEntry(0, Optional.empty(), -1);

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
}
