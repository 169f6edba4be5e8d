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
    private static final long RETRY_MS = 120;

    /** Largest number of entries in one append; keeps a request far below the size limit of the store. */
    private static final int MAX_ENTRIES = 64;

    /** Number of consecutive failed appends after which entries are refused without an append. */
    private static final int FAILURES_BEFORE_REFUSAL = 2;

    /** Time in ms after a failed append after which one entry may probe the store again. */
    private static final long PROBE_MS = 400;

    private final StreamStore store;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final DecisionLog log;
    private List<Waiting> queue = new ArrayList<>();
    private List<Waiting> underWay = List.of();
    private int failures;
    private long failedMs;

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

    private static final class Waiting {

        private final StreamStore.Entry entry;
        private final long giveUpMs;
        private final Sinks.One<Outcome> result = Sinks.one();
        private boolean uncertain;

        private Waiting(StreamStore.Entry entry, long giveUpMs) {
            this.entry = entry;
            this.giveUpMs = giveUpMs;
        }
    }

    /**
     * Stores an entry.
     *
     * @param entry the entry
     * @param giveUpMs time in ms after which a failed append is not retried
     * @return the outcome
     */
    public Mono<Outcome> store(StreamStore.Entry entry, long giveUpMs) {
        if (circuitOpen(clock.getAsLong())) {
            return Mono.just(Outcome.NOT_STORED);
        }
        Waiting waiting = new Waiting(entry, giveUpMs);
        queue.add(waiting);
        next();
        return waiting.result.asMono();
    }

    /**
     * Returns whether the circuit breaker is open, so that entries are refused without an append.
     *
     * @param nowMs present time in ms
     * @return true after consecutive failures, until the next probe is due
     */
    public boolean circuitOpen(long nowMs) {
        return failures >= FAILURES_BEFORE_REFUSAL && (!underWay.isEmpty() || nowMs - failedMs < PROBE_MS);
    }

    /**
     * Closes the circuit breaker and sends all waiting entries at once after the store recovered. The entries of an
     * append in flight are sent again, because that append may never be answered.
     */
    public void storeRecovered() {
        failures = 0;
        List<Waiting> again = new ArrayList<>(underWay);
        again.forEach(waiting -> waiting.uncertain = true);
        again.addAll(queue);
        queue = again;
        underWay = List.of();
        next();
    }

    private void next() {
        if (!underWay.isEmpty() || queue.isEmpty()) {
            return;
        }
        int count = Math.min(queue.size(), MAX_ENTRIES);
        List<Waiting> batch = new ArrayList<>(queue.subList(0, count));
        underWay = batch;
        queue = new ArrayList<>(queue.subList(count, queue.size()));
        List<StreamStore.Entry> entries =
                batch.stream().map(waiting -> waiting.entry).toList();
        store.append(entries, Optional.empty(), OptionalLong.empty()).subscribe(result -> finished(batch, result));
    }

    private void finished(List<Waiting> batch, AppendResult result) {
        boolean current = underWay == batch;
        if (current) {
            underWay = List.of();
        }
        if (result instanceof AppendResult.Stored) {
            failures = 0;
            batch.forEach(waiting -> waiting.result.tryEmitValue(Outcome.STORED));
            next();
            return;
        }
        log.line("intake-append-failed", "entries", batch.size(), "current", current, "result", result);
        if (current) {
            failed(batch, !(result instanceof AppendResult.Refused));
        }
    }

    private void failed(List<Waiting> batch, boolean uncertain) {
        failures++;
        long nowMs = clock.getAsLong();
        failedMs = nowMs;
        List<Waiting> again = new ArrayList<>();
        for (Waiting waiting : batch) {
            waiting.uncertain |= uncertain;
            if (nowMs + RETRY_MS >= waiting.giveUpMs) {
                waiting.result.tryEmitValue(waiting.uncertain ? Outcome.UNKNOWN : Outcome.NOT_STORED);
            } else {
                again.add(waiting);
            }
        }
        again.addAll(queue);
        queue = again;
        scheduler.schedule(this::next, RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
