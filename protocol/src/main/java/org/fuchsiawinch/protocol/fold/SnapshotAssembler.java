package org.fuchsiawinch.protocol.fold;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.record.LogRecord;

/** Collects the chunks of snapshots until one is whole. Not thread-safe. */
public final class SnapshotAssembler {

    private final Map<NodeId, Unfinished> unfinished = new HashMap<>();

    /**
     * Takes a chunk. A writer's chunk of another snapshot drops what came before.
     *
     * @param writer the writer
     * @param chunk the chunk
     */
    public void add(NodeId writer, LogRecord.SnapshotChunk chunk) {
        Unfinished present = unfinished.get(writer);
        if (present == null || present.number != chunk.snapshot()) {
            present = new Unfinished(chunk.snapshot());
            unfinished.put(writer, present);
        }
        present.chunks.put(chunk.index(), chunk);
    }

    /**
     * Takes the end of a snapshot.
     *
     * @param writer the writer
     * @param done the end
     * @return the whole snapshot, or empty if a chunk is missing
     */
    public Optional<CompleteSnapshot> finish(NodeId writer, LogRecord.SnapshotDone done) {
        Unfinished present = unfinished.remove(writer);
        if (present == null || present.number != done.snapshot() || present.chunks.size() != done.chunks()) {
            return Optional.empty();
        }
        return Optional.of(new CompleteSnapshot(done, new ArrayList<>(present.chunks.values())));
    }

    /**
     * A snapshot with all its chunks.
     *
     * @param done its end
     * @param chunks its chunks in order of index
     */
    public record CompleteSnapshot(LogRecord.SnapshotDone done, List<LogRecord.SnapshotChunk> chunks) {

        /**
         * Copies the list.
         */
        public CompleteSnapshot {
            chunks = List.copyOf(chunks);
        }
    }

    private static final class Unfinished {
        private final long number;
        private final Map<Integer, LogRecord.SnapshotChunk> chunks = new TreeMap<>();

        private Unfinished(long number) {
            this.number = number;
        }
    }
}
