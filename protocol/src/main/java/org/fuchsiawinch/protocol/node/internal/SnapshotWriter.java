package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayDeque;
import java.util.Deque;

import org.fuchsiawinch.protocol.fold.LogFold;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.record.LogRecord;

/**
 * Writes a snapshot of the log's state in time, a few chunks at a time so that other records are not held up. Not
 * thread-safe.
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
     * Creates a writer that has written nothing.
     *
     * @param settings the node's settings
     * @param outlet takes the records
     */
    public SnapshotWriter(NodeSettings settings, Outlet outlet) {
        this.settings = settings;
        this.outlet = outlet;
    }

    /**
     * Starts a snapshot when one is due and continues the one under way.
     *
     * @param fold the state
     * @param nowMs present time in ms since the epoch
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

    /** Notes that an end was read back, valid or void. */
    public void endRead() {
        endPending = false;
    }

    /** Drops the snapshot under way after the cell was lost; readers ignore what was written of it. */
    public void drop() {
        chunks.clear();
    }
}
