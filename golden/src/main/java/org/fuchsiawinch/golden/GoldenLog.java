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

    private static final long ONE_WAY_MS = 2;
    private static final long TIMEOUT_MS = 1000;
    private static final long RETENTION_MS = 86_400_000;
    private static final int READ_LIMIT = 256;

    private final EventQueue queue;
    private final Transcript transcript;
    private final RecordCodec codec = new RecordCodec();
    private final LogStore store = new LogStore(RETENTION_MS);
    private final List<LostAnswer> lostAnswers = new ArrayList<>();
    private long downUntilMs;

    GoldenLog(EventQueue queue, Transcript transcript) {
        this.queue = queue;
        this.transcript = transcript;
    }

    /** Lets all appends and reads time out for a period in ms. */
    void down(long forMs) {
        downUntilMs = queue.nowMs() + forMs;
    }

    /** Drops the answer to a node's next append that contains a record of a type; the records are stored. */
    void loseAnswer(String node, Class<? extends LogRecord> type) {
        lostAnswers.add(new LostAnswer(node, type));
    }

    /** Appends a batch and passes whether it was acknowledged to {@code answer}. */
    void append(String node, List<Envelope> batch, Consumer<Boolean> answer) {
        if (queue.nowMs() < downUntilMs) {
            transcript.count(node, "append-timeouts");
            queue.in(TIMEOUT_MS, () -> answer.accept(false));
            return;
        }
        queue.in(ONE_WAY_MS, () -> store(node, batch, answer));
    }

    /** Reads records from an offset on; calls {@code failed} after a timeout during an outage. */
    void read(long fromOffset, Consumer<LogStore.Slice> answer, Runnable failed) {
        if (queue.nowMs() < downUntilMs) {
            queue.in(TIMEOUT_MS, failed);
            return;
        }
        queue.in(ONE_WAY_MS, () -> {
            LogStore.Slice slice = store.read(fromOffset, READ_LIMIT, queue.nowMs());
            queue.in(ONE_WAY_MS, () -> answer.accept(slice));
        });
    }

    /** Decodes a stored record. */
    Envelope decode(byte[] stored) {
        return codec.decode(stored);
    }

    private void store(String node, List<Envelope> batch, Consumer<Boolean> answer) {
        List<byte[]> encoded = batch.stream().map(codec::encode).toList();
        long offset = store.append(encoded, queue.nowMs());
        Optional<LostAnswer> lost =
                lostAnswers.stream().filter(fault -> fault.hits(node, batch)).findFirst();
        for (Envelope envelope : batch) {
            write(node, offset, envelope, lost.isPresent());
            offset++;
        }
        lost.ifPresent(lostAnswers::remove);
        queue.in(lost.isPresent() ? TIMEOUT_MS : ONE_WAY_MS, () -> answer.accept(lost.isEmpty()));
    }

    private void write(String node, long offset, Envelope envelope, boolean lost) {
        LogRecord record = envelope.record();
        if (record instanceof LogRecord.CellHeld && !lost) {
            transcript.count(node, "cell-held");
            return;
        }
        String place = "offset=" + offset + " sequence=" + envelope.id().sequence();
        String content = Wording.record(record);
        String details = place + (content.isEmpty() ? "" : " " + content) + (lost ? " answer=lost" : "");
        transcript.exchange(queue.nowMs(), node, "log", Wording.kind(record), details);
    }

    private record LostAnswer(String node, Class<? extends LogRecord> type) {

        private boolean hits(String writer, List<Envelope> batch) {
            return node.equals(writer) && batch.stream().anyMatch(envelope -> type.isInstance(envelope.record()));
        }
    }
}
