package org.fuchsiawinch.protocol.fold;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.record.LogRecord;

/**
 * Assembler of snapshots from their chunks, for one snapshot per writer at a time. Not thread-safe.
 */
public final class SnapshotAssembler {

    private final Map<NodeId, PartialSnapshot> partialSnapshots = new HashMap<>();

    /**
     * Adds a chunk. A chunk of another snapshot of the same writer discards the chunks collected from that writer.
     *
     * @param writer the writer
     * @param chunk the chunk
     */
    public void add(NodeId writer, LogRecord.SnapshotChunk chunk) {
        PartialSnapshot partial = partialSnapshots.get(writer);
        if (partial == null || partial.number != chunk.snapshot()) {
            partial = new PartialSnapshot(chunk.snapshot());
            partialSnapshots.put(writer, partial);
        }
        partial.chunks.put(chunk.index(), chunk);
    }

    /**
     * Ends a snapshot and returns it if it is complete.
     *
     * @param writer the writer
     * @param done the record that ends the snapshot
     * @return the complete snapshot, or empty if a chunk is missing
     */
    public Optional<CompleteSnapshot> finish(NodeId writer, LogRecord.SnapshotDone done) {
        PartialSnapshot partial = partialSnapshots.remove(writer);
        if (partial == null || partial.number != done.snapshot() || partial.chunks.size() != done.chunks()) {
            return Optional.empty();
        }
        return Optional.of(new CompleteSnapshot(done, new ArrayList<>(partial.chunks.values())));
    }

    /**
     * A snapshot with all its chunks.
     *
     * @param done the record that ends the snapshot
     * @param chunks its chunks in order of index
     */
    public record CompleteSnapshot(LogRecord.SnapshotDone done, List<LogRecord.SnapshotChunk> chunks) {

        /**
         * Copies the list of chunks.
         */
        public CompleteSnapshot {
            chunks = List.copyOf(chunks);
        }
    }

    private static final class PartialSnapshot {
        private final long number;
        private final Map<Integer, LogRecord.SnapshotChunk> chunks = new TreeMap<>();

        private PartialSnapshot(long number) {
            this.number = number;
        }
    }
}
