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
 * Stores entries of callers' requests. Entries that arrive while an append is under way go into the next one. An append
 * without a certain result is repeated until the request's time is up, which is harmless as an entry replaces its like.
 * Runs on one thread, which also calls it.
 */
public final class BatchingAppender {

    /** Pause before a refused append is repeated, in ms. */
    private static final long RETRY_MS = 120;

    /** Most entries of one append; keeps a call far below the store's largest. */
    private static final int MAX_ENTRIES = 64;

    /** Failed appends in a row after which requests are refused without an attempt, while the store stays silent. */
    private static final int FAILURES_BEFORE_REFUSAL = 2;

    /** Time after a failed attempt after which one request tries the store again, in ms. */
    private static final long PROBE_MS = 400;

    private final StreamStore store;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final DecisionLog log;
    private List<Waiting> queue = new ArrayList<>();
    private List<Waiting> underWay = List.of();
    private int failures;
    private long failedMs;

    /** Creates an appender.
     *
     * @param store the store
     * @param scheduler the one thread
     * @param clock present time in ms
     * @param log takes a line for each failed append
     */
    public BatchingAppender(StreamStore store, Scheduler scheduler, LongSupplier clock, DecisionLog log) {
        this.store = store;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /** What became of an entry. */
    public enum Outcome {
        /** It is stored. */
        STORED,
        /** It is not stored and never will be. */
        NOT_STORED,
        /** It may be stored, or may still be. */
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
     * @param giveUpMs time in ms at which the caller is answered without a certain result
     * @return what became of it
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
     * Says whether the store has failed so often that requests are refused without an attempt.
     *
     * @param nowMs present time in ms
     * @return true until the next attempt is due
     */
    public boolean circuitOpen(long nowMs) {
        return failures >= FAILURES_BEFORE_REFUSAL && (!underWay.isEmpty() || nowMs - failedMs < PROBE_MS);
    }

    /** Sends what waits at once, as the store answers again; an append that is under way may never be answered. */
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
