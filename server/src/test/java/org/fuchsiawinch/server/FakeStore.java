package org.fuchsiawinch.server;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** In-memory store of one stream with injectable failures, delays and append results. */
final class FakeStore implements StreamStore {

    final List<Entry> entries = new ArrayList<>();
    final List<Supplier<AppendResult>> appendAnswers = new ArrayList<>();
    private final Scheduler time;
    long firstRetained;
    /** End offset reported by pages of latest entries, although their entries may be newer; -1 for the true end. */
    long snapshotEnd = -1;

    Runnable beforeAppend = () -> {};
    boolean down;

    /** Whether calls that begin now stay unanswered and end with their time-out. */
    boolean silent;

    /** Error with which the next read ends; null for none. */
    RuntimeException nextReadFailure;

    /** Error that the next read throws; null for none. */
    Error nextReadError;

    int appends;

    /** Bytes of the values of the last append. */
    long lastAppendBytes;

    int reads;

    /** Reads that were given up before their answer. */
    int cancelledReads;

    /** Pages of latest entries that have been asked for. */
    int pages;

    /** Number of the page of latest entries that fails, from 1; 0 for none. */
    int failingPage;

    FakeStore(Scheduler time) {
        this.time = time;
    }

    void put(String key, String value) {
        entries.add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    /** Delay in ms of the answers to reads, including reads of the latest entries. */
    long answerDelayMs;

    /** Delay in ms until an append takes effect and is answered. */
    long appendDelayMs;

    /** Largest number of entries in the answer to a read. */
    int maxEntriesPerRead = Integer.MAX_VALUE;

    /** Largest number of entries in a page of the latest entries; pages are in the order of the keys. */
    int maxEntriesPerPage = Integer.MAX_VALUE;

    /** Delay in ms of a page of the latest entries, in addition to that of other answers. */
    long pageDelayMs;

    /** Returns whether the next page of the latest entries stays unanswered and ends with its time-out. */
    BooleanSupplier nextPageUnanswered = () -> false;

    /** Highest epoch that has written; writers of lower epochs are rejected. */
    private long highestEpoch;

    /** Sequence number of the last append of the highest epoch; an append that does not follow it is rejected. */
    private long lastSequence = -1;

    /** Time-out in ms of an unanswered call. */
    static final long TIMEOUT_MS = 1200;

    @Override
    public Mono<AppendResult> append(List<Entry> added, Optional<Writer> writer, OptionalLong expectedEnd) {
        appends++;
        if (silent) {
            return Mono.delay(Duration.ofMillis(TIMEOUT_MS), time).map(ended -> new AppendResult.Unknown("silent"));
        }
        return appendDelayMs == 0
                ? Mono.just(store(added, writer, expectedEnd))
                : Mono.delay(Duration.ofMillis(appendDelayMs), time).map(waited -> store(added, writer, expectedEnd));
    }

    private AppendResult store(List<Entry> added, Optional<Writer> writer, OptionalLong expectedEnd) {
        lastAppendBytes =
                added.stream().mapToLong(entry -> entry.value().length).sum();
        beforeAppend.run();
        long epoch = writer.map(Writer::epoch).orElse(highestEpoch);
        if (epoch < highestEpoch) {
            return new AppendResult.Fenced();
        }
        if (expectedEnd.isPresent() && expectedEnd.getAsLong() != entries.size()) {
            return new AppendResult.Moved(entries.size());
        }
        if (!appendAnswers.isEmpty()) {
            return appendAnswers.remove(0).get();
        }
        if (writer.isPresent()) {
            long sequence = writer.get().sequence();
            if (epoch == highestEpoch && sequence <= lastSequence) {
                return new AppendResult.Stored(entries.size());
            }
            if (epoch == highestEpoch && sequence != lastSequence + 1) {
                return new AppendResult.Fenced();
            }
            lastSequence = sequence;
        }
        highestEpoch = epoch;
        entries.addAll(added);
        return new AppendResult.Stored(entries.size());
    }

    @Override
    public Mono<ReadResult> read(Stream stream, long from, long waitMs) {
        reads++;
        if (nextReadError != null) {
            Error error = nextReadError;
            nextReadError = null;
            throw error;
        }
        if (nextReadFailure != null) {
            RuntimeException failure = nextReadFailure;
            nextReadFailure = null;
            return Mono.error(failure);
        }
        if (silent) {
            return Mono.delay(Duration.ofMillis(TIMEOUT_MS), time).map(ended -> new ReadResult.Failed("silent"));
        }
        if (!down && from >= entries.size() && waitMs > 0) {
            return Mono.delay(Duration.ofMillis(waitMs), time).map(waited -> answer(from));
        }
        Mono<ReadResult> result = Mono.fromSupplier(() -> answer(from));
        return answerDelayMs == 0
                ? result
                : Mono.delay(Duration.ofMillis(answerDelayMs), time)
                        .flatMap(waited -> result)
                        .doOnCancel(() -> cancelledReads++);
    }

    private ReadResult answer(long from) {
        if (down) {
            return new ReadResult.Failed("down");
        }
        if (from < firstRetained) {
            return new ReadResult.Expired();
        }
        List<StoredEntry> stored = new ArrayList<>();
        for (long offset = from; offset < entries.size() && stored.size() < maxEntriesPerRead; offset++) {
            stored.add(new StoredEntry(offset, entries.get((int) offset)));
        }
        return new ReadResult.Entries(from + stored.size(), entries.size(), stored);
    }

    @Override
    public Mono<PageResult> readLatest(Stream stream, Optional<String> after) {
        pages++;
        if (down || pages == failingPage) {
            return Mono.just(new PageResult.Failed("down"));
        }
        if (nextPageUnanswered.getAsBoolean()) {
            return Mono.delay(Duration.ofMillis(TIMEOUT_MS), time).map(ended -> new PageResult.Failed("unanswered"));
        }
        long delayMs = answerDelayMs + pageDelayMs;
        return delayMs == 0
                ? Mono.just(page(after))
                : Mono.delay(Duration.ofMillis(delayMs), time).map(waited -> page(after));
    }

    private PageResult page(Optional<String> after) {
        Map<String, StoredEntry> latest = new TreeMap<>();
        for (int offset = 0; offset < entries.size(); offset++) {
            latest.put(entries.get(offset).key(), new StoredEntry(offset, entries.get(offset)));
        }
        latest.values().removeIf(stored -> stored.entry().value().length == 0);
        List<StoredEntry> following = latest.values().stream()
                .filter(stored -> after.isEmpty() || stored.entry().key().compareTo(after.get()) > 0)
                .toList();
        boolean more = following.size() > maxEntriesPerPage;
        long end = snapshotEnd < 0 ? entries.size() : snapshotEnd;
        return new PageResult.Page(more ? following.subList(0, maxEntriesPerPage) : following, more, end);
    }
}
