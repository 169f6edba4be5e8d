package org.fuchsiawinch.server.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.port.StreamStore.AppendResult;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Appends entries of callers' requests in batches: entries that arrive while an append is in flight go into the next
 * one. A failed append is retried until the deadline of each entry; a duplicate is harmless because an entry replaces
 * the previous one of its key. After consecutive failures a circuit breaker refuses entries without an append. Not
 * thread-safe: all calls and callbacks run on the node's single thread.
 */
public final class BatchingAppender {

    /** Delay in ms before a failed append is retried. */
    private static final long RETRY_DELAY_MS = 120;

    /** Time in ms after the deadline of an entry at which its caller is answered although an append is in flight. */
    private static final long LAST_APPEND_MS = 700;

    /** Largest number of entries in one append. */
    private static final int MAX_ENTRIES = 64;

    /** Largest size in bytes of the values in one append of several entries; half of what a store takes. */
    private static final long MAX_BYTES = 1024 * 1024;

    /** Number of consecutive failed appends after which entries are refused without an append. */
    private static final int CIRCUIT_BREAKER_FAILURES = 2;

    /** Time in ms after a failed append after which one entry may probe the store again. */
    private static final long PROBE_INTERVAL_MS = 400;

    private final StreamStore store;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final DecisionLog log;
    private List<QueuedEntry> queue = new ArrayList<>();
    private List<QueuedEntry> inFlight = List.of();
    private int consecutiveFailures;
    private long lastFailureMs;

    /**
     * Creates an appender.
     *
     * @param store the store
     * @param scheduler scheduler of the node's single thread
     * @param clock supplies the present time in ms
     * @param log receives a line for each failed append
     */
    public BatchingAppender(StreamStore store, Scheduler scheduler, LongSupplier clock, DecisionLog log) {
        this.store = store;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /** Outcome of storing an entry. */
    public enum Outcome {
        /** The entry is stored. */
        STORED,
        /** The entry is not stored and never will be. */
        NOT_STORED,
        /** The entry may be stored already, or may still be stored later. */
        UNKNOWN
    }

    private static final class QueuedEntry {

        private final StreamStore.Entry entry;
        private final long deadlineMs;
        private final Sinks.One<Outcome> result = Sinks.one();

        /** Whether an append of the entry ended without a known outcome. */
        private boolean maybeStored;

        private QueuedEntry(StreamStore.Entry entry, long deadlineMs) {
            this.entry = entry;
            this.deadlineMs = deadlineMs;
        }
    }

    /**
     * Stores an entry.
     *
     * @param entry the entry
     * @param deadlineMs time in ms by the appender's clock after which a failed append is not retried; does not end an
     *     append in flight, whose outcome is awaited for 700 ms more
     * @return the outcome; never an error
     */
    public Mono<Outcome> store(StreamStore.Entry entry, long deadlineMs) {
        long nowMs = clock.getAsLong();
        if (circuitOpen(nowMs)) {
            return Mono.just(Outcome.NOT_STORED);
        }
        QueuedEntry queued = new QueuedEntry(entry, deadlineMs);
        queue.add(queued);
        sendNext();
        scheduler.schedule(() -> expire(queued), deadlineMs + LAST_APPEND_MS - nowMs, TimeUnit.MILLISECONDS);
        return queued.result.asMono();
    }

    /** Reports an entry whose outcome is not known in time, and appends it no more. */
    private void expire(QueuedEntry queued) {
        queue.remove(queued);
        boolean maybeStored = queued.maybeStored || inFlight.contains(queued);
        queued.result.tryEmitValue(maybeStored ? Outcome.UNKNOWN : Outcome.NOT_STORED);
    }

    /**
     * Returns whether the circuit breaker is open, so that entries are refused without an append.
     *
     * @param nowMs present time in ms
     * @return true after consecutive failures, while an append is in flight or the next probe is not due yet
     */
    public boolean circuitOpen(long nowMs) {
        return consecutiveFailures >= CIRCUIT_BREAKER_FAILURES
                && (!inFlight.isEmpty() || nowMs - lastFailureMs < PROBE_INTERVAL_MS);
    }

    /**
     * Closes the circuit breaker and sends all waiting entries at once after the store recovered. The entries of an
     * append in flight are sent again, because that append may never be answered.
     */
    public void storeRecovered() {
        consecutiveFailures = 0;
        List<QueuedEntry> requeued = new ArrayList<>(inFlight);
        requeued.forEach(queued -> queued.maybeStored = true);
        requeued.addAll(queue);
        queue = requeued;
        inFlight = List.of();
        sendNext();
    }

    private void sendNext() {
        if (!inFlight.isEmpty() || queue.isEmpty()) {
            return;
        }
        int count = nextBatchSize();
        List<QueuedEntry> batch = new ArrayList<>(queue.subList(0, count));
        inFlight = batch;
        queue = new ArrayList<>(queue.subList(count, queue.size()));
        List<StreamStore.Entry> entries =
                batch.stream().map(queued -> queued.entry).toList();
        store.append(entries, Optional.empty(), OptionalLong.empty()).subscribe(result -> onResult(batch, result));
    }

    private int nextBatchSize() {
        int count = 1;
        long bytes = queue.get(0).entry.value().length;
        while (count < Math.min(queue.size(), MAX_ENTRIES)) {
            bytes += queue.get(count).entry.value().length;
            if (bytes > MAX_BYTES) {
                break;
            }
            count++;
        }
        return count;
    }

    private void onResult(List<QueuedEntry> batch, AppendResult result) {
        // False if the entries were queued again when the store recovered.
        boolean current = inFlight == batch;
        if (current) {
            inFlight = List.of();
        }
        if (result instanceof AppendResult.Stored) {
            consecutiveFailures = 0;
            batch.forEach(queued -> queued.result.tryEmitValue(Outcome.STORED));
            sendNext();
            return;
        }
        log.line("intake-append-failed", "entries", batch.size(), "current", current, "result", result);
        if (current) {
            retryOrFail(batch, !(result instanceof AppendResult.Refused));
        }
    }

    private void retryOrFail(List<QueuedEntry> batch, boolean maybeStored) {
        consecutiveFailures++;
        long nowMs = clock.getAsLong();
        lastFailureMs = nowMs;
        List<QueuedEntry> requeued = new ArrayList<>();
        for (QueuedEntry queued : batch) {
            queued.maybeStored |= maybeStored;
            if (nowMs + RETRY_DELAY_MS >= queued.deadlineMs) {
                queued.result.tryEmitValue(queued.maybeStored ? Outcome.UNKNOWN : Outcome.NOT_STORED);
            } else {
                requeued.add(queued);
            }
        }
        requeued.addAll(queue);
        queue = requeued;
        scheduler.schedule(this::sendNext, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
}
