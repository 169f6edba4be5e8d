package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.protocol.fold.SnapshotAssembler;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.record.LogRecord;

/**
 * Rebuilds a node's state after records were dropped that it has not read: keeps what it reads until a whole snapshot
 * has passed by that ends inside what it has read. Not thread-safe; used once.
 */
public final class Recovery {

    private final long firstOffset;
    private final SnapshotAssembler snapshots = new SnapshotAssembler();
    private final List<NodeInput.RecordRead> kept = new ArrayList<>();

    /**
     * Starts a recovery.
     *
     * @param firstOffset offset of the oldest record that the log keeps
     */
    public Recovery(long firstOffset) {
        this.firstOffset = firstOffset;
    }

    /**
     * Takes the next record.
     *
     * @param read the record
     * @return the snapshot to load, once there is one
     */
    public Optional<SnapshotAssembler.CompleteSnapshot> take(NodeInput.RecordRead read) {
        if (!kept.isEmpty() && read.offset() <= kept.get(kept.size() - 1).offset()) {
            return Optional.empty();
        }
        kept.add(read);
        if (read.envelope().record() instanceof LogRecord.SnapshotChunk chunk) {
            snapshots.add(read.envelope().id().writer(), chunk);
        }
        if (read.envelope().record() instanceof LogRecord.SnapshotDone done) {
            return snapshots
                    .finish(read.envelope().id().writer(), done)
                    .filter(whole -> whole.done().upToOffset() >= firstOffset);
        }
        return Optional.empty();
    }

    /**
     * Gives the records that follow a snapshot.
     *
     * @param upToOffset offset of the first record that the snapshot does not contain
     * @return the records that were read since
     */
    public List<NodeInput.RecordRead> after(long upToOffset) {
        return kept.stream().filter(read -> read.offset() >= upToOffset).toList();
    }
}
