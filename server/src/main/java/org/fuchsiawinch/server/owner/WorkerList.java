package org.fuchsiawinch.server.owner;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.server.failure.FailureBarrier;
import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.stream.StreamFollower;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import reactor.core.scheduler.Scheduler;

/**
 * Converts entries of the workers' stream into inputs of the owner, for a limited time in one go: the owner's
 * heartbeats and the answers to them must not wait behind hundreds of new workers. Ignores entries that the store has
 * carried out late, after newer ones of the same worker. Not thread-safe.
 */
final class WorkerList implements StreamFollower.Listener {

    /** Time in ms after which other events get their turn; a fraction of the silence after which an owner is missed. */
    private static final long TURN_MS = 200;

    /** Pause in ms between two turns; the event loop looks at its sockets only if it is idle for a moment. */
    private static final long TURN_PAUSE_MS = 1;

    /**
     * Time in ms in which an older entry counts as late. Beyond it, the newer one is taken for that of another writer:
     * the worker's own entries would be ignored for ever.
     */
    private static final long MAX_ENTRY_DELAY_MS = 15_000;

    private final EntryDecoder decoder;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final FailureBarrier barrier;
    private final DecisionLog log;
    private final Consumer<OwnerInput> owner;
    private final Map<String, WorkerId> idsByKey = new HashMap<>();
    private final Map<WorkerId, Newest> newest = new HashMap<>();
    private final Deque<StreamStore.StoredEntry> waiting = new ArrayDeque<>();
    private boolean closed;

    /** Newest entry of a worker, also of one that has left, and the time in ms at which it was read. */
    private record Newest(EntryDecoder.WorkerListing listing, long readMs) {}

    /**
     * Creates an empty list.
     *
     * @param decoder decodes the entries
     * @param scheduler scheduler of the node's single thread
     * @param clock supplies the present time in ms
     * @param barrier contains failures on single entries
     * @param log receives a line for each late entry
     * @param owner receives the inputs
     */
    WorkerList(
            EntryDecoder decoder,
            Scheduler scheduler,
            LongSupplier clock,
            FailureBarrier barrier,
            DecisionLog log,
            Consumer<OwnerInput> owner) {
        this.decoder = decoder;
        this.scheduler = scheduler;
        this.clock = clock;
        this.barrier = barrier;
        this.log = log;
        this.owner = owner;
    }

    /** Returns the address of a worker; an empty text if it has never been listed. */
    String address(WorkerId worker) {
        return Optional.ofNullable(newest.get(worker))
                .map(known -> known.listing.address())
                .orElse("");
    }

    /** Discards the entries that wait for their turn. */
    void close() {
        closed = true;
        waiting.clear();
    }

    @Override
    public void onSnapshot(List<StreamStore.StoredEntry> entries) {
        Set<String> missing = new TreeSet<>(idsByKey.keySet());
        for (StreamStore.StoredEntry stored : entries) {
            missing.remove(stored.entry().key());
        }
        missing.forEach(this::remove);
        // The snapshot is newer than the entries that wait.
        boolean inProgress = !waiting.isEmpty();
        waiting.clear();
        waiting.addAll(entries);
        if (!inProgress) {
            applyFirst();
        }
    }

    @Override
    public void onEntries(List<StreamStore.StoredEntry> entries) {
        boolean inProgress = !waiting.isEmpty();
        waiting.addAll(entries);
        if (!inProgress) {
            applyFirst();
        }
    }

    @Override
    public void onCaughtUp() {
        // A stale list does no harm: a worker that does not answer lease renewals gets no work.
    }

    private void applyFirst() {
        applyFor(clock.getAsLong() + TURN_MS);
        if (!waiting.isEmpty()) {
            owner.accept(new OwnerInput.WorkersPending(true));
            scheduleNext();
        }
    }

    private void scheduleNext() {
        scheduler.schedule(
                () -> barrier.run("workers", this::applyNext).ifPresent(failure -> scheduleNext()),
                TURN_PAUSE_MS,
                TimeUnit.MILLISECONDS);
    }

    private void applyNext() {
        if (closed) {
            return;
        }
        applyFor(clock.getAsLong() + TURN_MS);
        if (waiting.isEmpty()) {
            owner.accept(new OwnerInput.WorkersPending(false));
            return;
        }
        scheduleNext();
    }

    private void applyFor(long endMs) {
        while (!waiting.isEmpty()) {
            StreamStore.StoredEntry stored = waiting.remove();
            barrier.run("worker-entry", () -> apply(stored));
            if (clock.getAsLong() >= endMs) {
                return;
            }
        }
    }

    private void apply(StreamStore.StoredEntry stored) {
        String key = stored.entry().key();
        if (stored.entry().value().length == 0) {
            remove(key);
            return;
        }
        decoder.decodeWorker(key, stored.entry().value()).ifPresent(listing -> listed(key, listing, clock.getAsLong()));
    }

    private void listed(String key, EntryDecoder.WorkerListing listing, long nowMs) {
        WorkerId id = listing.registration().id();
        Newest known = newest.get(id);
        if (known != null && listing.olderThan(known.listing) && nowMs - known.readMs <= MAX_ENTRY_DELAY_MS) {
            log.line(
                    "worker-entry-late",
                    "worker",
                    id,
                    "incarnation",
                    listing.registration().incarnation(),
                    "sequence",
                    listing.sequence(),
                    "newestIncarnation",
                    known.listing.registration().incarnation(),
                    "newestSequence",
                    known.listing.sequence());
            return;
        }
        newest.put(id, new Newest(listing, nowMs));
        idsByKey.put(key, id);
        owner.accept(new OwnerInput.WorkerListed(listing.registration()));
    }

    private void remove(String key) {
        WorkerId id = idsByKey.remove(key);
        if (id != null) {
            owner.accept(new OwnerInput.WorkerUnlisted(id));
        }
    }
}
