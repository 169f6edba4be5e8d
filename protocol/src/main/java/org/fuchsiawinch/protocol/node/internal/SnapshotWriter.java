package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayDeque;
import java.util.Deque;

import org.fuchsiawinch.protocol.fold.LogFold;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.record.LogRecord;

/**
 * Periodic writer of snapshots of the state folded from the log. Appends a few records per tick so that other records
 * are not delayed. Not thread-safe.
 */
public final class SnapshotWriter {

    /** Largest estimated size of a chunk. */
    private static final int CHUNK_BYTES = 32 * 1024;

    private static final int RECORDS_PER_TICK = 4;

    private final NodeSettings settings;
    private final NodeOutput output;
    private final Deque<LogRecord> unwrittenRecords = new ArrayDeque<>();
    /** Whether a {@code SnapshotDone} record was appended but not read back yet. */
    private boolean endRecordPending;

    private long lastNumber;

    /**
     * Creates a writer that has written no snapshot.
     *
     * @param settings the node's settings
     * @param output receives the records
     */
    public SnapshotWriter(NodeSettings settings, NodeOutput output) {
        this.settings = settings;
        this.output = output;
    }

    /**
     * Starts a snapshot if one is due, and writes the next records of the one under way.
     *
     * @param fold the state folded from the log
     * @param nowMs current Unix time in ms
     */
    public void tick(LogFold fold, long nowMs) {
        if (unwrittenRecords.isEmpty()
                && !endRecordPending
                && nowMs - fold.lastSnapshotMs() >= settings.snapshotIntervalMs()) {
            lastNumber++;
            unwrittenRecords.addAll(fold.snapshot(lastNumber, CHUNK_BYTES));
        }
        for (int written = 0; written < RECORDS_PER_TICK && !unwrittenRecords.isEmpty(); written++) {
            endRecordPending = unwrittenRecords.size() == 1;
            output.append(unwrittenRecords.removeFirst(), nowMs);
        }
    }

    /** Handles a {@code SnapshotDone} record of this node that was read back, whether or not it is void. */
    public void endRecordReadBack() {
        endRecordPending = false;
    }

    /**
     * Aborts the snapshot under way after the cell was lost. Readers ignore the chunks already written, as the snapshot
     * stays incomplete.
     */
    public void abort() {
        unwrittenRecords.clear();
    }
}
