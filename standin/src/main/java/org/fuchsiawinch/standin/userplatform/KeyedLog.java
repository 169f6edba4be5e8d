package org.fuchsiawinch.standin.userplatform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * In-memory partition of a keyed topic with idempotent, fenced and conditional appends, compaction, and the latest
 * record of each key. Not thread-safe.
 */
public final class KeyedLog {

    /** Number of a producer's latest appends whose repetition is answered with the offsets stored before. */
    private static final int DEDUPLICATED_APPENDS = 5;

    private final List<KeyedRecord> records = new ArrayList<>();
    private final Map<String, Long> latestOffsets = new LinkedHashMap<>();
    private final Map<String, Producer> producers = new LinkedHashMap<>();
    private long firstOffset;

    /**
     * Record of the topic.
     *
     * @param key key of the record
     * @param value value; empty if the record removes the key
     */
    public record KeyedRecord(String key, byte[] value) {}

    /**
     * Id of an append, by which a repeated append is stored once and one of an older epoch is fenced.
     *
     * @param producer name of the producer
     * @param epoch epoch of the producer
     * @param sequence number of the append within the epoch; the first append of an epoch may have any number
     */
    public record AppendId(String producer, long epoch, long sequence) {}

    /** Result of an append. */
    public sealed interface Result {

        /**
         * The records are stored.
         *
         * @param offset offset of the first record
         * @param end offset after the last record
         */
        record Stored(long offset, long end) implements Result {}

        /**
         * The producer's epoch is fenced, or the sequence number is not the next one.
         *
         * @param reason the platform's reason code: {@code fenced} or {@code seq}
         */
        record Conflict(String reason) implements Result {}

        /**
         * The partition does not end at the offset that the append requires.
         *
         * @param end end offset of the partition
         */
        record EndMismatch(long end) implements Result {}
    }

    private static final class Producer {
        private long epoch = Long.MIN_VALUE;
        private long nextSequence;
        private final Map<Long, Result.Stored> recentAppends = new LinkedHashMap<>();
    }

    /**
     * Appends records atomically.
     *
     * @param batch the records
     * @param appendId identifies the append; null if it is neither fenced nor deduplicated
     * @param at offset at which the partition has to end; empty for any
     * @return the offsets of the records or why they were not stored
     */
    public Result append(List<KeyedRecord> batch, AppendId appendId, OptionalLong at) {
        Producer producer = null;
        if (appendId != null) {
            producer = producers.computeIfAbsent(appendId.producer(), name -> new Producer());
            if (appendId.epoch() < producer.epoch) {
                return new Result.Conflict("fenced");
            }
            if (appendId.epoch() == producer.epoch) {
                Result.Stored repeated = producer.recentAppends.get(appendId.sequence());
                if (repeated != null) {
                    return repeated;
                }
                if (appendId.sequence() != producer.nextSequence) {
                    return new Result.Conflict("seq");
                }
            }
        }
        if (at.isPresent() && at.getAsLong() != records.size()) {
            return new Result.EndMismatch(records.size());
        }
        Result.Stored stored = new Result.Stored(records.size(), records.size() + batch.size());
        for (KeyedRecord record : batch) {
            latestOffsets.remove(record.key());
            if (record.value().length > 0) {
                latestOffsets.put(record.key(), (long) records.size());
            }
            records.add(record);
        }
        if (producer != null) {
            rememberAppend(producer, appendId, stored);
        }
        return stored;
    }

    private static void rememberAppend(Producer producer, AppendId appendId, Result.Stored stored) {
        if (appendId.epoch() > producer.epoch) {
            producer.recentAppends.clear();
        }
        producer.epoch = appendId.epoch();
        producer.nextSequence = appendId.sequence() + 1;
        producer.recentAppends.put(appendId.sequence(), stored);
        producer.recentAppends.keySet().removeIf(sequence -> sequence <= appendId.sequence() - DEDUPLICATED_APPENDS);
    }

    /**
     * Appends one record unconditionally.
     *
     * @param key key of the record
     * @param value value as text, stored as UTF-8
     */
    public void put(String key, String value) {
        append(List.of(new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8))), null, OptionalLong.empty());
    }

    /** Makes all present offsets unreadable; the latest record of each key is kept. */
    public void compact() {
        firstOffset = records.size();
    }

    /**
     * Returns the first offset that can be read.
     *
     * @return the offset
     */
    public long firstOffset() {
        return firstOffset;
    }

    /**
     * Returns the offset that the next record will have.
     *
     * @return the offset
     */
    public long endOffset() {
        return records.size();
    }

    /**
     * Returns the records from an offset on.
     *
     * @param from the offset, not below {@link #firstOffset()}
     * @return the records; empty if the offset is at or after the end
     */
    public List<KeyedRecord> readFrom(long from) {
        return from >= records.size() ? List.of() : List.copyOf(records.subList((int) from, records.size()));
    }

    /**
     * Returns the offset of the latest record of each key that is not removed.
     *
     * @return offsets by key, in no particular order
     */
    public Map<String, Long> latestOffsets() {
        return Map.copyOf(latestOffsets);
    }

    /**
     * Returns the record at an offset.
     *
     * @param offset the offset
     * @return the record
     * @throws IndexOutOfBoundsException if the offset is negative or not below {@link #endOffset()}
     */
    public KeyedRecord recordAt(long offset) {
        return records.get((int) offset);
    }
}
