package org.fuchsiawinch.protocol.record;

import java.util.Optional;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.NodeId;

/**
 * State of a cell in a snapshot.
 *
 * @param cell the cell
 * @param epoch current epoch
 * @param owner the owner; empty if the cell was released
 * @param lastHeardOffset log offset of the owner's last claim or heartbeat record in this epoch
 * @param heldMs writer's Unix time in ms of the owner's last claim or heartbeat record in this epoch
 * @param earlierHeldMs latest such time of earlier owners that did not release the cell; 0 if there is none
 * @param releasedMs writer's Unix time in ms at which an owner last released the cell; 0 if none did
 */
public record CellSnapshot(
        CellId cell,
        long epoch,
        Optional<NodeId> owner,
        long lastHeardOffset,
        long heldMs,
        long earlierHeldMs,
        long releasedMs) {}
