package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.protocol.fold.SnapshotAssembler;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.record.LogRecord;

/**
 * Recovery of a node's state from a snapshot after the log dropped records that the node has not read.
 * Keeps the records read until a complete snapshot was read which includes all dropped records. Not thread-safe; an
 * instance is used for one recovery only.
 */
public final class LogGapRecovery {

    private final long firstOffset;
    private final SnapshotAssembler snapshots = new SnapshotAssembler();
    private final List<NodeInput.RecordRead> records = new ArrayList<>();

    /**
     * Creates a recovery that has read no record yet.
     *
     * @param firstOffset offset of the oldest record in the log
     */
    public LogGapRecovery(long firstOffset) {
        this.firstOffset = firstOffset;
    }

    /**
     * Adds the next record that was read.
     *
     * @param read the record
     * @return the snapshot to load, or empty if none is complete yet
     */
    public Optional<SnapshotAssembler.CompleteSnapshot> add(NodeInput.RecordRead read) {
        if (!records.isEmpty()
                && read.offset() <= records.get(records.size() - 1).offset()) {
            return Optional.empty();
        }
        records.add(read);
        if (read.envelope().record() instanceof LogRecord.SnapshotChunk chunk) {
            snapshots.add(read.envelope().id().writer(), chunk);
        }
        if (read.envelope().record() instanceof LogRecord.SnapshotDone done) {
            return snapshots
                    .finish(read.envelope().id().writer(), done)
                    .filter(complete -> complete.done().upToOffset() >= firstOffset);
        }
        return Optional.empty();
    }

    /**
     * Returns the records read so far that a snapshot does not include.
     *
     * @param upToOffset offset of the first record that the snapshot does not include
     * @return the records in order of offset
     */
    public List<NodeInput.RecordRead> recordsFrom(long upToOffset) {
        return records.stream().filter(read -> read.offset() >= upToOffset).toList();
    }
}
