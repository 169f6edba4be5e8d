package org.fuchsiawinch.server.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.fuchsiawinch.server.failure.ErrorSignals;
import org.fuchsiawinch.server.failure.FailureBarrier;
import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Follows one stream: loads a snapshot of the latest entry of each key, then reads what follows. Loads a new snapshot
 * if the store no longer retains the next entries. The listener never receives an entry of a key after a newer one. If
 * the listener fails on entries, they are delivered again one by one and those on which it fails are skipped. Not
 * thread-safe: all calls and callbacks run on the node's single thread.
 */
public final class StreamFollower {

    /** Receives entries in the order of their offsets; after a failure it may receive entries of a call again. */
    public interface Listener {

        /**
         * Receives the latest entry of each key; keys that are missing have been removed.
         *
         * @param entries the entries
         */
        void onSnapshot(List<StreamStore.StoredEntry> entries);

        /**
         * Receives the entries that follow.
         *
         * @param entries the entries, at least one
         */
        void onEntries(List<StreamStore.StoredEntry> entries);

        /** Called when the stream has been read to its end. */
        void onCaughtUp();

        /** Called when the store answers again after a failure. */
        default void onStoreRecovered() {}
    }

    /**
     * Long-polling parameters of a follower.
     *
     * @param waitMs longest time in ms that a read waits for an entry
     * @param pauseMs pause in ms between a read that returned the last entries and the next one
     */
    public record PollSettings(long waitMs, long pauseMs) {}

    /** Interval in ms between reads of an unresponsive store; short, because callers retry within a second. */
    private static final long PROBE_INTERVAL_MS = 200;

    private static final long MIN_RETRY_DELAY_MS = 80;
    private static final long MAX_RETRY_DELAY_MS = 600;

    /** A time in ms before all others; half the minimum, so that differences do not overflow. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final Stream stream;
    private final StreamStore store;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final Listener listener;
    private final DecisionLog log;
    private final FailureBarrier barrier;
    private final long jitterSeed;

    /**
     * Offsets, by key, of the snapshot's entries that were stored while it was loaded. Reads return these entries and
     * earlier ones of their keys again; both are skipped.
     */
    private final Map<String, Long> snapshotOffsets = new HashMap<>();

    private PollSettings poll;

    /** Offset from which on no entry can be part of the snapshot. */
    private long snapshotEnd;

    private long nextOffset = -1;
    private long retryDelayMs = MIN_RETRY_DELAY_MS;

    /** Time in ms of the store's last answer. */
    private long lastAnswerMs = NEVER_MS;

    private boolean unreachable;
    private boolean probing;
    private boolean closed;

    /** Read in flight or scheduled action. */
    private Disposable pending = () -> {};

    /** Number of restarts; a listener may ask for one while it receives entries. */
    private int restarts;

    /** Signals the end of the probes that are in flight. */
    private Sinks.Empty<Void> endOfProbes = Sinks.empty();

    /**
     * Creates a follower; it reads nothing before {@link #start()}.
     *
     * @param stream the stream to follow
     * @param store the store
     * @param poll long-polling parameters
     * @param scheduler scheduler of the node's single thread
     * @param clock supplies the present time in ms
     * @param jitterSeed seed of the retry delays, not negative; differs between nodes to spread their retries
     * @param listener receives the entries
     * @param log receives a line whenever the store stops answering, answers again or has expired the next entries
     */
    public StreamFollower(
            Stream stream,
            StreamStore store,
            PollSettings poll,
            Scheduler scheduler,
            LongSupplier clock,
            long jitterSeed,
            Listener listener,
            DecisionLog log) {
        this.stream = stream;
        this.store = store;
        this.poll = poll;
        this.scheduler = scheduler;
        this.clock = clock;
        this.jitterSeed = jitterSeed;
        this.listener = listener;
        this.log = log;
        this.barrier = new FailureBarrier(log);
    }

    /** Starts to follow the stream. */
    public void start() {
        loadSnapshot(new ArrayList<>(), Optional.empty(), -1);
    }

    /**
     * Discards what is known of the stream's age, and loads a new snapshot. Answers to earlier reads are ignored. Call
     * after the clock may have stood still.
     */
    public void startAgain() {
        if (closed) {
            return;
        }
        restarts++;
        lastAnswerMs = NEVER_MS;
        endProbing();
        start();
    }

    /** Stops permanently. */
    public void close() {
        closed = true;
        endProbing();
    }

    /**
     * Changes the long-polling parameters from the next read on.
     *
     * @param newPoll the new parameters
     */
    public void changePolling(PollSettings newPoll) {
        poll = newPoll;
    }

    /**
     * Returns whether the first snapshot has been loaded.
     *
     * @return true once it has been loaded
     */
    public boolean loaded() {
        return nextOffset >= 0;
    }

    /**
     * Returns the offset of the next entry to read.
     *
     * @return the offset; negative before the first snapshot
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the time since the store last answered.
     *
     * @param nowMs present time in ms
     * @return the time in ms; very large if the store has never answered
     */
    public long stalenessMs(long nowMs) {
        return nowMs - lastAnswerMs;
    }

    /**
     * Reads once up to the end of the stream, concurrently with the regular reads.
     *
     * @return whether the listener has received all entries stored before the call; false if no snapshot is loaded, the
     *     read failed or the store no longer retains the next entries
     */
    public Mono<Boolean> catchUp() {
        if (!loaded()) {
            return Mono.just(false);
        }
        long from = nextOffset;
        return store.read(stream, from, 0).map(ErrorSignals.converting(result -> {
            if (!(result instanceof StreamStore.ReadResult.Entries read)) {
                return false;
            }
            apply(read);
            return nextOffset >= read.end();
        }));
    }

    private void loadSnapshot(List<StreamStore.StoredEntry> collected, Optional<String> after, long firstEnd) {
        pending = store.readLatest(stream, after)
                .subscribe(
                        startingAgain(result -> {
                            if (closed) {
                                return;
                            }
                            if (result instanceof StreamStore.PageResult.Failed failed) {
                                retry(failed.problem(), () -> loadSnapshot(collected, after, firstEnd));
                                return;
                            }
                            StreamStore.PageResult.Page page = (StreamStore.PageResult.Page) result;
                            collected.addAll(page.entries());
                            long end = firstEnd < 0 ? page.end() : firstEnd;
                            if (page.more() && !page.entries().isEmpty()) {
                                String lastKey = page.entries()
                                        .get(page.entries().size() - 1)
                                        .entry()
                                        .key();
                                loadSnapshot(collected, Optional.of(lastKey), end);
                                return;
                            }
                            applySnapshot(collected, end);
                        }),
                        this::startAfterFailure);
    }

    /** Loads a new snapshot after an unexpected failure. */
    private void startAfterFailure(Throwable failure) {
        barrier.report("follow-" + stream, failure);
        if (!closed) {
            endProbing();
            retry(failure.toString(), this::start);
        }
    }

    /** Returns an action that loads a new snapshot if another one fails, also by an error. */
    private <T> Consumer<T> startingAgain(Consumer<T> action) {
        return value -> {
            try {
                action.accept(value);
            } catch (RuntimeException | Error failure) {
                startAfterFailure(failure);
            }
        };
    }

    /** Delivers a snapshot; if the listener fails on it, an empty one and then the entries one by one. */
    private void deliverSnapshot(List<StreamStore.StoredEntry> entries) {
        if (barrier.run("snapshot-" + stream, () -> listener.onSnapshot(entries))
                .isPresent()) {
            barrier.run("snapshot-" + stream, () -> listener.onSnapshot(new ArrayList<>()));
            entries.forEach(this::deliverOrSkip);
        }
    }

    private void deliver(List<StreamStore.StoredEntry> entries) {
        if (barrier.run("entries-" + stream, () -> listener.onEntries(entries)).isPresent()) {
            entries.forEach(this::deliverOrSkip);
        }
    }

    private void deliverOrSkip(StreamStore.StoredEntry stored) {
        barrier.run("entry-" + stream, () -> listener.onEntries(List.of(stored)))
                .ifPresent(failure -> log.line(
                        "entry-skipped",
                        "stream",
                        stream,
                        "offset",
                        stored.offset(),
                        "key",
                        stored.entry().key(),
                        "bytes",
                        stored.entry().value().length));
    }

    private void applySnapshot(List<StreamStore.StoredEntry> entries, long end) {
        int restartsBefore = restarts;
        markReachable();
        snapshotOffsets.clear();
        snapshotEnd = end;
        for (StreamStore.StoredEntry stored : entries) {
            if (stored.offset() >= end) {
                snapshotOffsets.put(stored.entry().key(), stored.offset());
                snapshotEnd = Math.max(snapshotEnd, stored.offset() + 1);
            }
        }
        nextOffset = end;
        entries.sort((left, right) -> Long.compare(left.offset(), right.offset()));
        deliverSnapshot(entries);
        if (restarts == restartsBefore) {
            read();
        }
    }

    private void read() {
        pending = store.read(stream, nextOffset, poll.waitMs())
                .subscribe(
                        startingAgain(result -> {
                            if (closed) {
                                return;
                            }
                            if (result instanceof StreamStore.ReadResult.Failed failed) {
                                markUnreachable(failed.problem());
                                probing = true;
                                probe();
                                return;
                            }
                            onResult(result);
                        }),
                        this::startAfterFailure);
    }

    /**
     * Sends reads at a fixed interval without waiting for earlier ones, which may never be answered even after the
     * store has recovered. The first answer ends the probing.
     */
    private void probe() {
        schedule(PROBE_INTERVAL_MS + jitterSeed % (PROBE_INTERVAL_MS / 2), () -> {
            probe();
            store.read(stream, nextOffset, 0)
                    .takeUntilOther(endOfProbes.asMono())
                    .subscribe(
                            startingAgain(result -> {
                                if (closed || !probing || result instanceof StreamStore.ReadResult.Failed) {
                                    return;
                                }
                                endProbing();
                                onResult(result);
                            }),
                            this::startAfterFailure);
        });
    }

    /** Gives up the other probes: under load, the store would answer all of them. */
    private void endProbing() {
        probing = false;
        pending.dispose();
        Sinks.Empty<Void> ended = endOfProbes;
        endOfProbes = Sinks.empty();
        ended.tryEmitEmpty();
    }

    private void onResult(StreamStore.ReadResult result) {
        if (result instanceof StreamStore.ReadResult.Expired) {
            log.line("stream-expired", "stream", stream, "offset", nextOffset);
            loadSnapshot(new ArrayList<>(), Optional.empty(), -1);
            return;
        }
        StreamStore.ReadResult.Entries read = (StreamStore.ReadResult.Entries) result;
        boolean foundEntries = !read.entries().isEmpty();
        int restartsBefore = restarts;
        markReachable();
        apply(read);
        if (restarts != restartsBefore) {
            return;
        }
        boolean behind = nextOffset < read.end();
        schedule(foundEntries && !behind ? poll.pauseMs() : 0, this::read);
    }

    private void apply(StreamStore.ReadResult.Entries read) {
        lastAnswerMs = clock.getAsLong();
        List<StreamStore.StoredEntry> unseen = new ArrayList<>(read.entries().size());
        for (StreamStore.StoredEntry stored : read.entries()) {
            if (stored.offset() >= nextOffset && !superseded(stored)) {
                unseen.add(stored);
            }
        }
        nextOffset = Math.max(nextOffset, read.next());
        if (nextOffset >= snapshotEnd) {
            snapshotOffsets.clear();
        }
        if (!unseen.isEmpty()) {
            deliver(unseen);
        }
        if (nextOffset >= read.end()) {
            barrier.run("caught-up-" + stream, listener::onCaughtUp);
        }
    }

    private boolean superseded(StreamStore.StoredEntry stored) {
        Long snapshotOffset = snapshotOffsets.get(stored.entry().key());
        return snapshotOffset != null && stored.offset() <= snapshotOffset;
    }

    private void markReachable() {
        lastAnswerMs = clock.getAsLong();
        retryDelayMs = MIN_RETRY_DELAY_MS;
        if (unreachable) {
            unreachable = false;
            log.line("dependency-regained", "stream", stream, "offset", nextOffset);
            barrier.run("recovered-" + stream, listener::onStoreRecovered);
        }
    }

    private void markUnreachable(String problem) {
        if (!unreachable) {
            unreachable = true;
            log.line("dependency-lost", "stream", stream, "problem", problem, "offset", nextOffset);
        }
    }

    private void retry(String problem, Runnable action) {
        markUnreachable(problem);
        schedule(retryDelayMs + jitterSeed % Math.max(1, retryDelayMs), action);
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
    }

    private void schedule(long delayMs, Runnable action) {
        if (closed) {
            return;
        }
        Consumer<Void> guarded = startingAgain(ignored -> action.run());
        if (delayMs <= 0) {
            pending = scheduler.schedule(() -> guarded.accept(null));
            return;
        }
        pending = scheduler.schedule(() -> guarded.accept(null), delayMs, TimeUnit.MILLISECONDS);
    }
}
