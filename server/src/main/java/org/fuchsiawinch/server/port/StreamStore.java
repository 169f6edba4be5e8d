package org.fuchsiawinch.server.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import reactor.core.publisher.Mono;

/**
 * The platform's store. All results are values: no publisher of this port ends with an error. Each call has its own
 * time-out.
 */
public interface StreamStore {

    /**
     * Appends entries to the cell's stream, all or none.
     *
     * @param entries the entries
     * @param writer fences out writers of lower epochs; empty for an append by any node
     * @param expectedEnd offset at which the stream has to end; empty for any
     * @return what came of it
     */
    Mono<AppendResult> append(List<Entry> entries, Optional<Writer> writer, OptionalLong expectedEnd);

    /**
     * Reads entries, waiting for the first one.
     *
     * @param stream the stream
     * @param from offset of the first entry
     * @param waitMs longest wait for an entry, in ms
     * @return what was read
     */
    Mono<ReadResult> read(Stream stream, long from, long waitMs);

    /**
     * Reads a page of the newest entry of each key.
     *
     * @param stream the stream
     * @param after last key of the page before; empty for the first page
     * @return the page
     */
    Mono<PageResult> readLatest(Stream stream, Optional<String> after);

    /**
     * An entry.
     *
     * @param key its key
     * @param value its value; empty if the key was removed
     */
    record Entry(String key, byte[] value) {}

    /**
     * An entry with its place.
     *
     * @param offset its offset
     * @param entry the entry
     */
    record StoredEntry(long offset, Entry entry) {}

    /**
     * Names a fenced writer of the cell's stream.
     *
     * @param epoch its epoch
     * @param sequence number of the append within the epoch, from 0
     */
    record Writer(long epoch, long sequence) {}

    /** What came of an append. */
    sealed interface AppendResult {

        /**
         * The entries are stored.
         *
         * @param end offset behind the last entry of the stream
         */
        record Stored(long end) implements AppendResult {}

        /** Nothing was stored: a higher epoch has written, or this epoch's order is broken. */
        record Fenced() implements AppendResult {}

        /**
         * Nothing was stored: the stream ends elsewhere.
         *
         * @param end where it ends
         */
        record Moved(long end) implements AppendResult {}

        /**
         * Nothing was stored: the store refuses calls at present.
         *
         * @param problem what was seen
         */
        record Refused(String problem) implements AppendResult {}

        /**
         * The entries may have been stored, or may still be.
         *
         * @param problem what was seen
         */
        record Unknown(String problem) implements AppendResult {}
    }

    /** What was read. */
    sealed interface ReadResult {

        /**
         * Entries in order.
         *
         * @param next offset behind the last one, or the offset asked for if there are none
         * @param end offset behind the last entry of the stream
         * @param entries the entries
         */
        record Entries(long next, long end, List<StoredEntry> entries) implements ReadResult {}

        /** The entries at the offset are no longer kept. */
        record Expired() implements ReadResult {}

        /**
         * Nothing was read.
         *
         * @param problem what was seen
         */
        record Failed(String problem) implements ReadResult {}
    }

    /** A page of newest entries. */
    sealed interface PageResult {

        /**
         * A page.
         *
         * @param entries the entries
         * @param more whether more follow
         * @param end offset behind the last entry of the stream when the page was read
         */
        record Page(List<StoredEntry> entries, boolean more, long end) implements PageResult {}

        /**
         * Nothing was read.
         *
         * @param problem what was seen
         */
        record Failed(String problem) implements PageResult {}
    }
}
