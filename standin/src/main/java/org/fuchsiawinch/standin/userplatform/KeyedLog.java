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

    private static final int REMEMBERED_APPENDS = 5;

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Long> newest = new LinkedHashMap<>();
    private final Map<String, Producer> producers = new LinkedHashMap<>();
    private long firstKept;

    /**
     * Record of the topic.
     *
     * @param key key of the record
     * @param value value; empty if the record removes the key
     */
    public record Entry(String key, byte[] value) {}

    /**
     * Identifies an append, so that a repeated one is stored once and one of an older epoch is fenced.
     *
     * @param name name of the producer
     * @param epoch epoch of the producer
     * @param sequence number of the append within the epoch
     */
    public record Writer(String name, long epoch, long sequence) {}

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
         * @param reason the platform's reason code
         */
        record Conflict(String reason) implements Result {}

        /**
         * The partition does not end at the offset that the append requires.
         *
         * @param end end offset of the partition
         */
        record Moved(long end) implements Result {}
    }

    private static final class Producer {
        private long epoch = Long.MIN_VALUE;
        private long next;
        private final Map<Long, Result.Stored> recent = new LinkedHashMap<>();
    }

    /**
     * Appends records atomically.
     *
     * @param added the records
     * @param writer identifies the append; null if it is neither fenced nor deduplicated
     * @param at offset at which the partition has to end; empty for any
     * @return the offsets of the records or why they were not stored
     */
    public Result append(List<Entry> added, Writer writer, OptionalLong at) {
        Producer producer = null;
        if (writer != null) {
            producer = producers.computeIfAbsent(writer.name(), name -> new Producer());
            if (writer.epoch() < producer.epoch) {
                return new Result.Conflict("fenced");
            }
            if (writer.epoch() == producer.epoch) {
                Result.Stored repeated = producer.recent.get(writer.sequence());
                if (repeated != null) {
                    return repeated;
                }
                if (writer.sequence() != producer.next) {
                    return new Result.Conflict("seq");
                }
            }
        }
        if (at.isPresent() && at.getAsLong() != entries.size()) {
            return new Result.Moved(entries.size());
        }
        Result.Stored stored = new Result.Stored(entries.size(), entries.size() + added.size());
        for (Entry entry : added) {
            newest.remove(entry.key());
            if (entry.value().length > 0) {
                newest.put(entry.key(), (long) entries.size());
            }
            entries.add(entry);
        }
        if (producer != null) {
            remember(producer, writer, stored);
        }
        return stored;
    }

    private static void remember(Producer producer, Writer writer, Result.Stored stored) {
        if (writer.epoch() > producer.epoch) {
            producer.recent.clear();
        }
        producer.epoch = writer.epoch();
        producer.next = writer.sequence() + 1;
        producer.recent.put(writer.sequence(), stored);
        producer.recent.keySet().removeIf(sequence -> sequence <= writer.sequence() - REMEMBERED_APPENDS);
    }

    /**
     * Appends one record unconditionally.
     *
     * @param key key of the record
     * @param value value as text, stored as UTF-8
     */
    public void put(String key, String value) {
        append(List.of(new Entry(key, value.getBytes(StandardCharsets.UTF_8))), null, OptionalLong.empty());
    }

    /** Makes all present offsets unreadable; the latest record of each key is kept. */
    public void compact() {
        firstKept = entries.size();
    }

    /**
     * Returns the first offset that can be read.
     *
     * @return the offset
     */
    public long first() {
        return firstKept;
    }

    /**
     * Returns the offset that the next record will have.
     *
     * @return the offset
     */
    public long end() {
        return entries.size();
    }

    /**
     * Returns the records from an offset on.
     *
     * @param from the offset, not below {@link #first()}
     * @return the records; empty if the offset is at or after the end
     */
    public List<Entry> from(long from) {
        return from >= entries.size() ? List.of() : List.copyOf(entries.subList((int) from, entries.size()));
    }

    /**
     * Returns the offset of the latest record of each key that is not removed.
     *
     * @return offsets by key, in no particular order
     */
    public Map<String, Long> newest() {
        return Map.copyOf(newest);
    }

    /**
     * Returns the record at an offset.
     *
     * @param offset the offset
     * @return the record
     */
    public Entry at(long offset) {
        return entries.get((int) offset);
    }
}
