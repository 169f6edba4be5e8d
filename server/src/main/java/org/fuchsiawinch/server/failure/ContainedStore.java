package org.fuchsiawinch.server.failure;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import reactor.core.publisher.Mono;

/** Store whose calls end with a failure value if another store throws or signals an error. Thread-safe as that one. */
public final class ContainedStore implements StreamStore {

    private final StreamStore store;
    private final FailureBarrier barrier;

    /**
     * Creates a store.
     *
     * @param store the store that carries out the calls
     * @param barrier receives the failures
     */
    public ContainedStore(StreamStore store, FailureBarrier barrier) {
        this.store = store;
        this.barrier = barrier;
    }

    @Override
    public Mono<AppendResult> append(List<Entry> entries, Optional<Writer> writer, OptionalLong expectedEnd) {
        return ErrorSignals.defer(() -> store.append(entries, writer, expectedEnd))
                .onErrorResume(failure -> {
                    barrier.report("store-append", failure);
                    return Mono.just(new AppendResult.Unknown(failure.toString()));
                });
    }

    @Override
    public Mono<ReadResult> read(Stream stream, long from, long waitMs) {
        return ErrorSignals.defer(() -> store.read(stream, from, waitMs)).onErrorResume(failure -> {
            barrier.report("store-read", failure);
            return Mono.just(new ReadResult.Failed(failure.toString()));
        });
    }

    @Override
    public Mono<PageResult> readLatest(Stream stream, Optional<String> after) {
        return ErrorSignals.defer(() -> store.readLatest(stream, after)).onErrorResume(failure -> {
            barrier.report("store-read-latest", failure);
            return Mono.just(new PageResult.Failed(failure.toString()));
        });
    }
}
