package org.fuchsiawinch.standin.log;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * In-memory append-only log of byte records, addressed by offset and dropped after the retention
 * period, at the next read. Thread-safe.
 */
public final class LogStore {

    private final long retentionMs;
    private final TreeMap<Long, StoredRecord> records = new TreeMap<>();
    private long nextOffset;

    /**
     * Creates an empty log.
     *
     * @param retentionMs age in ms beyond which a record is dropped
     */
    public LogStore(long retentionMs) {
        this.retentionMs = retentionMs;
    }

    /**
     * Appends records at consecutive offsets.
     *
     * @param batch the encoded records
     * @param nowMs present time in ms; all calls use the same clock
     * @return offset of the first appended record, or of the next one if the batch is empty
     */
    public synchronized long append(List<byte[]> batch, long nowMs) {
        long first = nextOffset;
        for (byte[] record : batch) {
            records.put(nextOffset, new StoredRecord(nowMs, record));
            nextOffset++;
        }
        return first;
    }

    /**
     * Drops expired records, then reads records from an offset on.
     *
     * @param fromOffset first offset to read
     * @param limit maximum number of records to return
     * @param nowMs present time in ms; all calls use the same clock
     * @return the records, with the first and next offsets of the log
     */
    public synchronized Slice read(long fromOffset, int limit, long nowMs) {
        while (!records.isEmpty() && nowMs - records.firstEntry().getValue().appendedMs() > retentionMs) {
            records.pollFirstEntry();
        }
        long first = records.isEmpty() ? nextOffset : records.firstKey();
        long start = Math.max(first, fromOffset);
        List<byte[]> found = new ArrayList<>();
        for (StoredRecord stored : records.tailMap(start, true).values()) {
            if (found.size() == limit) {
                break;
            }
            found.add(stored.record());
        }
        return new Slice(first, start, nextOffset, found);
    }

    /**
     * Consecutive records of the log.
     *
     * @param firstOffset offset of the oldest retained record
     * @param startOffset offset of the first returned record; above the requested offset if older records were dropped
     * @param nextOffset offset that the next appended record will have
     * @param records the encoded records; may be empty
     */
    public record Slice(long firstOffset, long startOffset, long nextOffset, List<byte[]> records) {}

    private record StoredRecord(long appendedMs, byte[] record) {}
}
