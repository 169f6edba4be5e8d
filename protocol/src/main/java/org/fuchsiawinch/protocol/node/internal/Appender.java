package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.record.RecordId;

/**
 * Queue of this node's records, which it numbers and appends in order, one batch at a time. A batch whose
 * acknowledgement was lost is appended again unchanged; readers detect the duplicates by their sequence numbers. Not
 * thread-safe.
 */
public final class Appender {

    private static final long INITIAL_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 5000;
    private static final long MAX_JITTER_PERCENT = 50;

    private final NodeId node;
    private final int maxBatchRecords;
    private final Deque<Envelope> queue = new ArrayDeque<>();
    private List<Envelope> batch = List.of();
    private boolean inFlight;
    private int failures;
    private long failingSinceMs;
    private long retryAtMs;
    private long lastSequence;

    /**
     * Creates an appender.
     *
     * @param node id of this node, the writer of the records
     * @param maxBatchRecords largest number of records in a batch
     */
    public Appender(NodeId node, int maxBatchRecords) {
        this.node = node;
        this.maxBatchRecords = maxBatchRecords;
    }

    /**
     * Queues a record to be appended.
     *
     * @param record the record
     * @param nowMs current Unix time in ms
     * @return the id of the record
     */
    public RecordId add(LogRecord record, long nowMs) {
        lastSequence++;
        RecordId id = new RecordId(node, lastSequence);
        queue.addLast(new Envelope(id, Envelope.SCHEMA_VERSION, nowMs, record));
        return id;
    }

    /**
     * Returns the next batch to append, unless a batch is in flight or a backoff has not elapsed.
     *
     * @param nowMs current Unix time in ms
     * @return the append, or empty
     */
    public Optional<NodeEffect.Append> next(long nowMs) {
        if (inFlight || nowMs < retryAtMs) {
            return Optional.empty();
        }
        if (batch.isEmpty()) {
            batch = removeBatch();
        }
        if (batch.isEmpty()) {
            return Optional.empty();
        }
        inFlight = true;
        return Optional.of(new NodeEffect.Append(batch));
    }

    /**
     * Handles the acknowledgement of a batch. Acknowledgements of earlier batches are ignored.
     *
     * @param firstSequence sequence number of the batch's first record
     */
    public void done(long firstSequence) {
        if (!isCurrent(firstSequence)) {
            return;
        }
        batch = List.of();
        inFlight = false;
        failures = 0;
        retryAtMs = 0;
    }

    /**
     * Handles a record of this node that was read back. This acknowledges its batch even if the acknowledgement was
     * lost.
     *
     * @param sequence sequence number of the record
     */
    public void readBack(long sequence) {
        if (!batch.isEmpty() && batch.get(batch.size() - 1).id().sequence() <= sequence) {
            done(batch.get(0).id().sequence());
        }
    }

    /**
     * Handles the failure of an append, which is retried after an exponential backoff with jitter. Failures of
     * earlier batches are ignored.
     *
     * @param firstSequence sequence number of the batch's first record
     * @param nowMs current Unix time in ms
     */
    public void failed(long firstSequence, long nowMs) {
        if (!isCurrent(firstSequence)) {
            return;
        }
        if (failures == 0) {
            failingSinceMs = nowMs;
        }
        inFlight = false;
        // the shift is limited so that it does not overflow
        long backoff = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(failures, 10));
        retryAtMs = nowMs + backoff + jitter(backoff);
        failures++;
    }

    /**
     * Returns how long appends have been failing.
     *
     * @param nowMs current Unix time in ms
     * @return time in ms since the first failure of the current batch, at least 1; 0 if the last append succeeded
     */
    public long failingForMs(long nowMs) {
        return failures == 0 ? 0 : Math.max(1, nowMs - failingSinceMs);
    }

    /**
     * Returns the number of records that are not acknowledged, including queued ones.
     *
     * @return number of records
     */
    public int pending() {
        return queue.size() + batch.size();
    }

    private boolean isCurrent(long firstSequence) {
        return !batch.isEmpty() && batch.get(0).id().sequence() == firstSequence;
    }

    private List<Envelope> removeBatch() {
        List<Envelope> taken = new ArrayList<>(Math.min(maxBatchRecords, queue.size()));
        while (taken.size() < maxBatchRecords && !queue.isEmpty()) {
            taken.add(queue.removeFirst());
        }
        return taken;
    }

    /**
     * Returns a jitter in ms, from 0 to a share of the backoff, that spreads the retries of several nodes. It is a
     * multiplicative hash of the node id and the failure count, as a random source would make the state machine
     * non-deterministic.
     */
    private long jitter(long backoff) {
        int hash = node.hashCode() * 31 + failures;
        return Math.floorMod(hash * 0x9E3779B1, 1000) * backoff * MAX_JITTER_PERCENT / 100 / 1000;
    }
}
