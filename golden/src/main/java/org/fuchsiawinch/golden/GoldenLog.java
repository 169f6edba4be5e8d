package org.fuchsiawinch.golden;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.standin.log.LogStore;
import org.fuchsiawinch.wire.RecordCodec;

/** Simulated log of the platform with scripted faults. Not thread-safe. */
final class GoldenLog {

    private static final long ONE_WAY_DELAY_MS = 2;
    private static final long TIMEOUT_MS = 1000;
    private static final long RETENTION_MS = 86_400_000;
    private static final int MAX_READ_RECORDS = 256;

    private final EventQueue queue;
    private final Transcript transcript;
    private final RecordCodec codec = new RecordCodec();
    private final LogStore store = new LogStore(RETENTION_MS);
    private final List<AnswerLoss> answerLosses = new ArrayList<>();
    private long outageEndMs;

    GoldenLog(EventQueue queue, Transcript transcript) {
        this.queue = queue;
        this.transcript = transcript;
    }

    /** Lets all appends and reads time out for a period in ms. */
    void startOutage(long forMs) {
        outageEndMs = queue.nowMs() + forMs;
    }

    /** Drops the answer to a node's next append that contains a record of a type; the records are stored. */
    void loseNextAnswer(String node, Class<? extends LogRecord> type) {
        answerLosses.add(new AnswerLoss(node, type));
    }

    /**
     * Appends a batch and passes true to {@code acknowledged} once it is stored, or false after a timeout. After a
     * timeout the batch is stored nevertheless if only the answer was lost.
     */
    void append(String node, List<Envelope> batch, Consumer<Boolean> acknowledged) {
        if (queue.nowMs() < outageEndMs) {
            transcript.count(node, "append-timeouts");
            queue.scheduleAfter(TIMEOUT_MS, () -> acknowledged.accept(false));
            return;
        }
        queue.scheduleAfter(ONE_WAY_DELAY_MS, () -> storeBatch(node, batch, acknowledged));
    }

    /** Reads records from an offset on; calls {@code onTimeout} after a timeout during an outage. */
    void read(long fromOffset, Consumer<LogStore.Slice> answer, Runnable onTimeout) {
        if (queue.nowMs() < outageEndMs) {
            queue.scheduleAfter(TIMEOUT_MS, onTimeout);
            return;
        }
        queue.scheduleAfter(ONE_WAY_DELAY_MS, () -> {
            LogStore.Slice slice = store.read(fromOffset, MAX_READ_RECORDS, queue.nowMs());
            queue.scheduleAfter(ONE_WAY_DELAY_MS, () -> answer.accept(slice));
        });
    }

    /** Decodes a stored record. */
    Envelope decode(byte[] stored) {
        return codec.decode(stored);
    }

    private void storeBatch(String node, List<Envelope> batch, Consumer<Boolean> acknowledged) {
        List<byte[]> encoded = batch.stream().map(codec::encode).toList();
        long offset = store.append(encoded, queue.nowMs());
        Optional<AnswerLoss> lost =
                answerLosses.stream().filter(loss -> loss.matches(node, batch)).findFirst();
        for (Envelope envelope : batch) {
            addToTranscript(node, offset, envelope, lost.isPresent());
            offset++;
        }
        lost.ifPresent(answerLosses::remove);
        queue.scheduleAfter(
                lost.isPresent() ? TIMEOUT_MS : ONE_WAY_DELAY_MS, () -> acknowledged.accept(lost.isEmpty()));
    }

    private void addToTranscript(String node, long offset, Envelope envelope, boolean lost) {
        LogRecord record = envelope.record();
        if (record instanceof LogRecord.CellHeld && !lost) {
            transcript.count(node, "cell-held");
            return;
        }
        String position = "offset=" + offset + " sequence=" + envelope.id().sequence();
        String content = MessageFormatter.record(record);
        String details = position + (content.isEmpty() ? "" : " " + content) + (lost ? " answer=lost" : "");
        transcript.addExchange(queue.nowMs(), node, "log", MessageFormatter.kind(record), details);
    }

    private record AnswerLoss(String node, Class<? extends LogRecord> type) {

        private boolean matches(String writer, List<Envelope> batch) {
            return node.equals(writer) && batch.stream().anyMatch(envelope -> type.isInstance(envelope.record()));
        }
    }
}
