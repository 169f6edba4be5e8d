package org.fuchsiawinch.standin.userplatform;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Calls whose answers wait for an event. One check serves all of them. Thread-safe. */
final class HeldCalls {

    private final Set<Held> held = ConcurrentHashMap.newKeySet();

    private static final class Held {
        private final Supplier<Reply> attempt;
        private final MonoSink<Reply> sink;

        private Held(Supplier<Reply> attempt, MonoSink<Reply> sink) {
            this.attempt = attempt;
            this.sink = sink;
        }
    }

    /**
     * Returns the answer to a call.
     *
     * @param attempt returns the answer, or null while the call has to wait
     */
    Mono<Reply> answer(Supplier<Reply> attempt) {
        return Mono.create(sink -> {
            Reply reply = attempt.get();
            if (reply != null) {
                sink.success(reply);
                return;
            }
            Held call = new Held(attempt, sink);
            held.add(call);
            sink.onDispose(() -> held.remove(call));
        });
    }

    /** Answers the calls that need not wait any longer. */
    void check() {
        for (Held call : held) {
            Reply reply = call.attempt.get();
            if (reply != null && held.remove(call)) {
                call.sink.success(reply);
            }
        }
    }

    /** Lets all held calls go unanswered. */
    void drop() {
        held.clear();
    }
}
