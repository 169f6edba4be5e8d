package org.fuchsiawinch.server.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Follows one stream: loads a snapshot of the latest entry of each key, then reads what follows. Loads a new snapshot
 * if the store no longer retains the next entries. The listener never receives an entry of a key after a newer one. Not
 * thread-safe: all calls and callbacks run on the node's single thread.
 */
public final class StreamFollower {

    /** Receives entries in the order of their offsets. */
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
     * @param pauseMs pause in ms between a read that returned entries and the next one
     */
    public record PollSettings(long waitMs, long pauseMs) {}

    /** Interval in ms between reads of an unresponsive store; callers retry within a second. */
    private static final long PROBE_MS = 200;

    private static final long MIN_RETRY_MS = 80;
    private static final long MAX_RETRY_MS = 600;

    private final Stream stream;
    private final StreamStore store;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final Listener listener;
    private final DecisionLog log;
    private final long jitter;
    private final Map<String, Long> loadedOffsets = new HashMap<>();
    private PollSettings poll;
    private long loadedUpTo;
    private long nextOffset = -1;
    private long retryMs = MIN_RETRY_MS;
    private long confirmedMs = Long.MIN_VALUE / 2;
    private boolean lost;
    private boolean probing;
    private boolean closed;
    private Disposable pending = () -> {};

    /**
     * Creates a follower; it reads nothing before {@link #start()}.
     *
     * @param stream the stream to follow
     * @param store the store
     * @param poll long-polling parameters
     * @param scheduler scheduler of the node's single thread
     * @param clock supplies the present time in ms
     * @param jitter node-specific number that spreads the retries of nodes
     * @param listener receives the entries
     * @param log receives a line whenever the store stops answering or answers again
     */
    public StreamFollower(
            Stream stream,
            StreamStore store,
            PollSettings poll,
            Scheduler scheduler,
            LongSupplier clock,
            long jitter,
            Listener listener,
            DecisionLog log) {
        this.stream = stream;
        this.store = store;
        this.poll = poll;
        this.scheduler = scheduler;
        this.clock = clock;
        this.jitter = jitter;
        this.listener = listener;
        this.log = log;
    }

    /** Starts to follow the stream. */
    public void start() {
        load(new ArrayList<>(), Optional.empty(), -1);
    }

    /** Stops permanently. */
    public void close() {
        closed = true;
        pending.dispose();
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
     * Returns the time since the store last answered, which bounds the age of what the listener has received.
     *
     * @param nowMs present time in ms
     * @return the time in ms; very large if the store has never answered
     */
    public long stalenessMs(long nowMs) {
        return nowMs - confirmedMs;
    }

    /**
     * Reads once up to the end of the stream, concurrently with the regular reads.
     *
     * @return whether the listener has received all entries stored before the call
     */
    public Mono<Boolean> catchUp() {
        if (!loaded()) {
            return Mono.just(false);
        }
        long from = nextOffset;
        return store.read(stream, from, 0).map(result -> {
            if (!(result instanceof StreamStore.ReadResult.Entries read)) {
                return false;
            }
            take(read);
            return nextOffset >= read.end();
        });
    }

    private void load(List<StreamStore.StoredEntry> gathered, Optional<String> after, long firstEnd) {
        pending = store.readLatest(stream, after).subscribe(result -> {
            if (closed) {
                return;
            }
            if (result instanceof StreamStore.PageResult.Failed failed) {
                retry(failed.problem(), () -> load(new ArrayList<>(), Optional.empty(), -1));
                return;
            }
            StreamStore.PageResult.Page page = (StreamStore.PageResult.Page) result;
            gathered.addAll(page.entries());
            long end = firstEnd < 0 ? page.end() : firstEnd;
            if (page.more() && !page.entries().isEmpty()) {
                String last =
                        page.entries().get(page.entries().size() - 1).entry().key();
                load(gathered, Optional.of(last), end);
                return;
            }
            loaded(gathered, end);
        });
    }

    private void loaded(List<StreamStore.StoredEntry> entries, long end) {
        regained();
        loadedOffsets.clear();
        loadedUpTo = end;
        for (StreamStore.StoredEntry stored : entries) {
            if (stored.offset() >= end) {
                loadedOffsets.put(stored.entry().key(), stored.offset());
                loadedUpTo = Math.max(loadedUpTo, stored.offset() + 1);
            }
        }
        nextOffset = end;
        entries.sort((left, right) -> Long.compare(left.offset(), right.offset()));
        listener.onSnapshot(entries);
        read();
    }

    private void read() {
        pending = store.read(stream, nextOffset, poll.waitMs()).subscribe(result -> {
            if (closed) {
                return;
            }
            if (result instanceof StreamStore.ReadResult.Failed failed) {
                lost(failed.problem());
                probing = true;
                probe();
                return;
            }
            answered(result);
        });
    }

    /**
     * Sends reads at a fixed interval without waiting for earlier ones, which may never be answered even after the
     * store has recovered. The first answer ends the probing.
     */
    private void probe() {
        later(PROBE_MS + jitter % (PROBE_MS / 2), () -> {
            probe();
            store.read(stream, nextOffset, 0).subscribe(result -> {
                if (closed || !probing || result instanceof StreamStore.ReadResult.Failed) {
                    return;
                }
                probing = false;
                pending.dispose();
                answered(result);
            });
        });
    }

    private void answered(StreamStore.ReadResult result) {
        if (result instanceof StreamStore.ReadResult.Expired) {
            log.line("stream-expired", "stream", stream, "offset", nextOffset);
            load(new ArrayList<>(), Optional.empty(), -1);
            return;
        }
        StreamStore.ReadResult.Entries read = (StreamStore.ReadResult.Entries) result;
        boolean news = !read.entries().isEmpty();
        regained();
        take(read);
        later(news ? poll.pauseMs() : 0, this::read);
    }

    private void take(StreamStore.ReadResult.Entries read) {
        confirmedMs = clock.getAsLong();
        List<StreamStore.StoredEntry> fresh = new ArrayList<>(read.entries().size());
        for (StreamStore.StoredEntry stored : read.entries()) {
            if (stored.offset() >= nextOffset && !outdated(stored)) {
                fresh.add(stored);
            }
        }
        nextOffset = Math.max(nextOffset, read.next());
        if (nextOffset >= loadedUpTo) {
            loadedOffsets.clear();
        }
        if (!fresh.isEmpty()) {
            listener.onEntries(fresh);
        }
        if (nextOffset >= read.end()) {
            listener.onCaughtUp();
        }
    }

    private boolean outdated(StreamStore.StoredEntry stored) {
        Long loadedOffset = loadedOffsets.get(stored.entry().key());
        return loadedOffset != null && stored.offset() <= loadedOffset;
    }

    private void regained() {
        confirmedMs = clock.getAsLong();
        retryMs = MIN_RETRY_MS;
        if (lost) {
            lost = false;
            log.line("dependency-regained", "stream", stream, "offset", nextOffset);
            listener.onStoreRecovered();
        }
    }

    private void lost(String problem) {
        if (!lost) {
            lost = true;
            log.line("dependency-lost", "stream", stream, "problem", problem, "offset", nextOffset);
        }
    }

    private void retry(String problem, Runnable action) {
        lost(problem);
        later(retryMs + jitter % Math.max(1, retryMs), action);
        retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
    }

    private void later(long delayMs, Runnable action) {
        if (closed) {
            return;
        }
        if (delayMs <= 0) {
            pending = scheduler.schedule(action);
            return;
        }
        pending = scheduler.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }
}
