package org.fuchsiawinch.server.failure;

import java.util.function.Function;
import java.util.function.Supplier;

import reactor.core.publisher.Mono;

/**
 * Turns an {@link Error} into an exception. Reactor throws errors of the virtual machine and of linking into the event
 * loop instead of signalling them, so that whoever waits for the result would wait for ever.
 */
public final class ErrorSignals {

    private ErrorSignals() {}

    /**
     * Returns a function that throws an exception where another one throws an error.
     *
     * @param <T> type of the argument
     * @param <R> type of the result
     * @param function the other function
     * @return the function
     */
    public static <T, R> Function<T, R> converting(Function<T, R> function) {
        return argument -> {
            try {
                return function.apply(argument);
            } catch (Error error) {
                throw new IllegalStateException(error.toString(), error);
            }
        };
    }

    /**
     * Returns a call that is made on subscription and signals an exception if making it throws an error.
     *
     * @param <T> type of the result
     * @param call makes the call
     * @return the call
     */
    public static <T> Mono<T> defer(Supplier<Mono<T>> call) {
        return Mono.defer(() -> converting(ignored -> call.get()).apply(null));
    }
}
