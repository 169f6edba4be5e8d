package org.fuchsiawinch.standin.log;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * An append-only list of byte records with offsets and limited retention. Thread-safe.
 */
public final class LogStore {

    private final long retentionMs;
    private final TreeMap<Long, Stored> records = new TreeMap<>();
    private long nextOffset;

    /**
     * Creates an empty log.
     *
     * @param retentionMs time in ms after which a record is dropped
     */
    public LogStore(long retentionMs) {
        this.retentionMs = retentionMs;
    }

    /**
     * Appends records one after the other.
     *
     * @param batch the records
     * @param nowMs present time in ms since the epoch
     * @return offset of the first of them
     */
    public synchronized long append(List<byte[]> batch, long nowMs) {
        long first = nextOffset;
        for (byte[] record : batch) {
            records.put(nextOffset, new Stored(nowMs, record));
            nextOffset++;
        }
        return first;
    }

    /**
     * Reads records.
     *
     * @param fromOffset first offset wanted
     * @param limit most records to give
     * @param nowMs present time in ms since the epoch
     * @return the records from there on, and where the log starts and ends
     */
    public synchronized Slice read(long fromOffset, int limit, long nowMs) {
        while (!records.isEmpty() && nowMs - records.firstEntry().getValue().atMs() > retentionMs) {
            records.pollFirstEntry();
        }
        long first = records.isEmpty() ? nextOffset : records.firstKey();
        long start = Math.max(first, fromOffset);
        List<byte[]> found = new ArrayList<>();
        for (Stored stored : records.tailMap(start, true).values()) {
            if (found.size() == limit) {
                break;
            }
            found.add(stored.record());
        }
        return new Slice(first, start, nextOffset, found);
    }

    /**
     * A part of the log.
     *
     * @param firstOffset offset of the oldest record that is kept
     * @param startOffset offset of the first record given; above the one asked for if older ones were dropped
     * @param nextOffset offset of the next record that will be appended
     * @param records the records
     */
    public record Slice(long firstOffset, long startOffset, long nextOffset, List<byte[]> records) {}

    private record Stored(long atMs, byte[] record) {}
}
