package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayDeque;
import java.util.Deque;

import org.fuchsiawinch.protocol.fold.LogFold;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.record.LogRecord;

/**
 * Periodically writes a snapshot of the state folded from the log, a few chunks per tick so that other records are not
 * delayed. Not thread-safe.
 */
public final class SnapshotWriter {

    private static final int CHUNK_BYTES = 32 * 1024;
    private static final int CHUNKS_PER_TICK = 4;

    private final NodeSettings settings;
    private final Outlet outlet;
    private final Deque<LogRecord> chunks = new ArrayDeque<>();
    private boolean endPending;
    private long count;

    /**
     * Creates a writer that has written no snapshot.
     *
     * @param settings the node's settings
     * @param outlet receives the records
     */
    public SnapshotWriter(NodeSettings settings, Outlet outlet) {
        this.settings = settings;
        this.outlet = outlet;
    }

    /**
     * Starts a snapshot if one is due, and writes the next chunks of the one under way.
     *
     * @param fold the state folded from the log
     * @param nowMs current Unix time in ms
     */
    public void tick(LogFold fold, long nowMs) {
        if (chunks.isEmpty() && !endPending && nowMs - fold.lastSnapshotMs() >= settings.snapshotIntervalMs()) {
            count++;
            chunks.addAll(fold.snapshot(count, CHUNK_BYTES));
        }
        for (int sent = 0; sent < CHUNKS_PER_TICK && !chunks.isEmpty(); sent++) {
            endPending = chunks.size() == 1;
            outlet.append(chunks.removeFirst(), nowMs);
        }
    }

    /** Handles a {@code SnapshotDone} record of this node that was read back, whether or not it is void. */
    public void endRead() {
        endPending = false;
    }

    /**
     * Aborts the snapshot under way after the cell was lost. Readers ignore the chunks already written, as the snapshot
     * stays incomplete.
     */
    public void drop() {
        chunks.clear();
    }
}
