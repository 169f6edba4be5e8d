package org.fuchsiawinch.server.owner;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.port.StreamStore.AppendResult;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import reactor.core.scheduler.Scheduler;

/**
 * Appends the records of one ownership under its epoch, one append at a time and in order. An append is retried with
 * exponential backoff until the store confirms or fences it; its sequence number prevents duplicates. One instance
 * serves one ownership. Not thread-safe: all calls and callbacks run on the node's single thread.
 */
final class FencedAppender {

    private static final long MIN_RETRY_DELAY_MS = 40;
    private static final long MAX_RETRY_DELAY_MS = 400;

    private final StreamStore store;
    private final Scheduler scheduler;
    private final long epoch;
    private final DecisionLog log;
    private final Runnable onFenced;

    /** Unconfirmed appends in the order of their sequence numbers; only the first one has been sent. */
    private final Deque<PendingAppend> pending = new ArrayDeque<>();

    private long sequence = 1;
    private boolean closed;

    /**
     * Creates an appender. The claim of the epoch must be stored under sequence number 0.
     *
     * @param store the store
     * @param scheduler scheduler of the node's single thread
     * @param epoch epoch of the ownership
     * @param log receives a line for each failed append
     * @param onFenced called when the store rejects an append: a higher epoch has written, or the sequence number is
     *     out of order
     */
    FencedAppender(StreamStore store, Scheduler scheduler, long epoch, DecisionLog log, Runnable onFenced) {
        this.store = store;
        this.scheduler = scheduler;
        this.epoch = epoch;
        this.log = log;
        this.onFenced = onFenced;
    }

    /** Append that the store has not confirmed yet. */
    private static final class PendingAppend {
        private final List<StreamStore.Entry> entries;
        private final long sequence;
        private final Runnable onStored;
        private long retryDelayMs = MIN_RETRY_DELAY_MS;
        private int tries;

        private PendingAppend(List<StreamStore.Entry> entries, long sequence, Runnable onStored) {
            this.entries = entries;
            this.sequence = sequence;
            this.onStored = onStored;
        }
    }

    /** Returns whether an append is unconfirmed. */
    boolean busy() {
        return !pending.isEmpty();
    }

    /** Appends entries after all earlier ones and calls {@code onStored} once the store confirms them. */
    void append(List<StreamStore.Entry> entries, Runnable onStored) {
        PendingAppend next = new PendingAppend(entries, sequence++, onStored);
        pending.add(next);
        send(next);
    }

    /** Retries the append in flight at once. Call after the store recovered: the last try may never be answered. */
    void storeRecovered() {
        if (busy()) {
            send(pending.element());
        }
    }

    /** Stops sending and ignores later results. */
    void close() {
        closed = true;
    }

    private void send(PendingAppend append) {
        if (closed || !isCurrent(append)) {
            return;
        }
        int tryNumber = ++append.tries;
        store.append(append.entries, Optional.of(new StreamStore.Writer(epoch, append.sequence)), OptionalLong.empty())
                .subscribe(result -> onResult(append, tryNumber, result));
    }

    private boolean isCurrent(PendingAppend append) {
        return append.equals(pending.peek());
    }

    private void onResult(PendingAppend append, int tryNumber, AppendResult result) {
        if (closed || !isCurrent(append)) {
            return;
        }
        if (result instanceof AppendResult.Stored) {
            pending.remove();
            append.onStored.run();
            sendNext();
            return;
        }
        if (result instanceof AppendResult.Fenced) {
            onFenced.run();
            return;
        }
        log.line(
                "owner-append-failed",
                "epoch",
                epoch,
                "sequence",
                append.sequence,
                "entries",
                append.entries.size(),
                "tries",
                append.tries,
                "result",
                result);
        if (tryNumber == append.tries) {
            scheduler.schedule(() -> retry(append, tryNumber), append.retryDelayMs, TimeUnit.MILLISECONDS);
            append.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * append.retryDelayMs);
        }
    }

    /** Sends the first append unless that has been done when it was added. */
    private void sendNext() {
        if (busy() && pending.element().tries == 0) {
            send(pending.element());
        }
    }

    private void retry(PendingAppend append, int tryNumber) {
        if (tryNumber == append.tries) {
            send(append);
        }
    }
}
