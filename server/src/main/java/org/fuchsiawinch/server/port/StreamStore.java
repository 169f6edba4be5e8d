package org.fuchsiawinch.server.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import reactor.core.publisher.Mono;

/**
 * The platform's store of keyed, append-only streams. Failures are returned as values: no publisher of this port ends
 * with an error. Each call has its own time-out. Results, time-outs included, arrive on the node's single thread.
 */
public interface StreamStore {

    /**
     * Appends entries to the cell's stream atomically: either all of them or none.
     *
     * @param entries the entries
     * @param writer fenced writer; writers of lower epochs are rejected from then on. Empty for an unfenced append
     * @param expectedEnd end offset that the stream must have for the append to succeed; empty for any
     * @return outcome of the append
     */
    Mono<AppendResult> append(List<Entry> entries, Optional<Writer> writer, OptionalLong expectedEnd);

    /**
     * Reads entries by long polling: waits until there is at least one, or until the wait is over.
     *
     * @param stream the stream
     * @param from offset of the first entry
     * @param waitMs longest time in ms to wait for an entry; 0 to answer at once
     * @return the entries, or the reason why there are none
     */
    Mono<ReadResult> read(Stream stream, long from, long waitMs);

    /**
     * Reads a page of the latest entry of each key; removed keys are left out.
     *
     * @param stream the stream
     * @param after last key of the previous page; empty for the first page
     * @return the page
     */
    Mono<PageResult> readLatest(Stream stream, Optional<String> after);

    /**
     * Entry of a stream.
     *
     * @param key key of the entry
     * @param value value of the entry; an empty array marks the key as removed
     */
    record Entry(String key, byte[] value) {}

    /**
     * Entry with its offset in the stream.
     *
     * @param offset offset of the entry
     * @param entry the entry
     */
    record StoredEntry(long offset, Entry entry) {}

    /**
     * Identifies an append of a fenced writer to the cell's stream.
     *
     * @param epoch epoch of the writer, used as the fencing token
     * @param sequence number of the append within the epoch, from 0; the store uses it to discard duplicates
     */
    record Writer(long epoch, long sequence) {}

    /** Outcome of an append. */
    sealed interface AppendResult {

        /**
         * The entries are stored.
         *
         * @param end offset after the last entry of the stream
         */
        record Stored(long end) implements AppendResult {}

        /** Nothing was stored: a higher epoch has written, or the sequence number is out of order. */
        record Fenced() implements AppendResult {}

        /**
         * Nothing was stored: the stream does not end at the expected offset.
         *
         * @param end offset after the last entry of the stream
         */
        record Moved(long end) implements AppendResult {}

        /**
         * Nothing was stored: the store rejects calls at present or was not reached.
         *
         * @param problem description of the failure
         */
        record Refused(String problem) implements AppendResult {}

        /**
         * The entries may have been stored, or may still be.
         *
         * @param problem description of the failure
         */
        record Unknown(String problem) implements AppendResult {}
    }

    /** Result of a read. */
    sealed interface ReadResult {

        /**
         * Entries in the order of their offsets.
         *
         * @param next offset after the last returned entry, or the requested offset if there are none
         * @param end offset after the last entry of the stream
         * @param entries the entries; may be empty
         */
        record Entries(long next, long end, List<StoredEntry> entries) implements ReadResult {}

        /** The entries at the requested offset are no longer retained. */
        record Expired() implements ReadResult {}

        /**
         * The read failed.
         *
         * @param problem description of the failure
         */
        record Failed(String problem) implements ReadResult {}
    }

    /** Result of reading a page of latest entries. */
    sealed interface PageResult {

        /**
         * Page of latest entries.
         *
         * @param entries the entries, not ordered by offset; the next page follows the key of the last one
         * @param more whether further pages follow
         * @param end offset after the last entry of the stream at the time of the read
         */
        record Page(List<StoredEntry> entries, boolean more, long end) implements PageResult {}

        /**
         * The read failed.
         *
         * @param problem description of the failure
         */
        record Failed(String problem) implements PageResult {}
    }
}
