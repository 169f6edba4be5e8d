package org.fuchsiawinch.standin.userplatform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One partition of a keyed topic: offsets, conditional and fenced appends, retention, and the newest record of each
 * key. Not thread-safe.
 */
public final class KeyedLog {

    private static final int REMEMBERED_APPENDS = 5;

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Long> newest = new LinkedHashMap<>();
    private final Map<String, Producer> producers = new LinkedHashMap<>();
    private long firstKept;

    /**
     * A record.
     *
     * @param key its key
     * @param value its value; empty if the key was removed
     */
    public record Entry(String key, byte[] value) {}

    /**
     * A writer whose appends are numbered.
     *
     * @param name its name
     * @param epoch its epoch
     * @param sequence number of the append
     */
    public record Writer(String name, long epoch, long sequence) {}

    /** What came of an append. */
    public sealed interface Result {

        /**
         * The records are stored.
         *
         * @param offset offset of the first one
         * @param end offset behind the last one
         */
        record Stored(long offset, long end) implements Result {}

        /**
         * The writer is fenced, or out of order.
         *
         * @param reason the word for it
         */
        record Conflict(String reason) implements Result {}

        /**
         * The partition ends elsewhere.
         *
         * @param end where
         */
        record Moved(long end) implements Result {}
    }

    private static final class Producer {
        private long epoch = Long.MIN_VALUE;
        private long next;
        private final Map<Long, Result.Stored> recent = new LinkedHashMap<>();
    }

    /**
     * Appends records, all or none.
     *
     * @param added the records
     * @param writer the writer, or null
     * @param at offset at which the partition has to end; empty for any
     * @return what came of it
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
     * Puts one record.
     *
     * @param key its key
     * @param value its value as text
     */
    public void put(String key, String value) {
        append(List.of(new Entry(key, value.getBytes(StandardCharsets.UTF_8))), null, OptionalLong.empty());
    }

    /** Forgets the history; the newest record of each key stays. */
    public void compact() {
        firstKept = entries.size();
    }

    /**
     * Gives the first offset that can be read.
     *
     * @return the offset
     */
    public long first() {
        return firstKept;
    }

    /**
     * Gives the offset behind the last record.
     *
     * @return the offset
     */
    public long end() {
        return entries.size();
    }

    /**
     * Gives the records from an offset on.
     *
     * @param from the offset, not below {@link #first()}
     * @return the records
     */
    public List<Entry> from(long from) {
        return from >= entries.size() ? List.of() : List.copyOf(entries.subList((int) from, entries.size()));
    }

    /**
     * Gives the newest record of each key.
     *
     * @return offsets by key, in order of the offsets
     */
    public Map<String, Long> newest() {
        return Map.copyOf(newest);
    }

    /**
     * Gives a record.
     *
     * @param offset its offset
     * @return the record
     */
    public Entry at(long offset) {
        return entries.get((int) offset);
    }
}
