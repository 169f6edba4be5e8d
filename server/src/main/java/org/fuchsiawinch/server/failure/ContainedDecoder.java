package org.fuchsiawinch.server.failure;

import java.util.Optional;
import java.util.function.Supplier;

import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.drain.DrainEntry;

/** Decoder that skips an entry if another decoder throws on it. Thread-safe as that decoder. */
public final class ContainedDecoder implements EntryDecoder {

    private final EntryDecoder decoder;
    private final FailureBarrier barrier;

    /**
     * Creates a decoder.
     *
     * @param decoder the decoder of the entries
     * @param barrier receives the failures
     */
    public ContainedDecoder(EntryDecoder decoder, FailureBarrier barrier) {
        this.decoder = decoder;
        this.barrier = barrier;
    }

    @Override
    public Optional<WorkerListing> decodeWorker(String key, byte[] value) {
        return contain("decode-worker", () -> decoder.decodeWorker(key, value));
    }

    @Override
    public Optional<CellRules> decodeRules(String key, byte[] value) {
        return contain("decode-rules", () -> decoder.decodeRules(key, value));
    }

    @Override
    public Optional<DrainEntry> decodeDrain(String key, byte[] value) {
        return contain("decode-drain", () -> decoder.decodeDrain(key, value));
    }

    private <T> Optional<T> contain(String task, Supplier<Optional<T>> decoding) {
        try {
            return decoding.get();
        } catch (RuntimeException | Error failure) {
            barrier.report(task, failure);
            return Optional.empty();
        }
    }
}
