package org.fuchsiawinch.protocol.record;

import java.util.Optional;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.NodeId;

/**
 * A cell in a snapshot.
 *
 * @param cell the cell
 * @param epoch present epoch
 * @param owner its owner; empty if it was given up
 * @param lastHeardOffset offset of the owner's last record in this epoch
 * @param heldMs writer's time in ms since the epoch of the owner's last sign of life
 * @param earlierHeldMs the same of earlier epochs that were not given up
 * @param releasedMs writer's time in ms since the epoch at which an earlier owner last gave the cell up
 */
public record CellSnapshot(
        CellId cell,
        long epoch,
        Optional<NodeId> owner,
        long lastHeardOffset,
        long heldMs,
        long earlierHeldMs,
        long releasedMs) {}
