package org.fuchsiawinch.node.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.fuchsiawinch.model.FuchsiawinchException;
import org.fuchsiawinch.node.loop.LoopFullException;
import org.fuchsiawinch.wire.JsonCodec;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Reads request bodies up to the size limit, encodes responses, and counts them by status. While the node drains,
 * responses announce that their connection is closed. Thread-safe.
 */
final class Responder {

    private final JsonCodec json = new JsonCodec();
    private final MetricRegistry metrics;
    private final int bodyLimitBytes;
    private final BooleanSupplier draining;

    Responder(MetricRegistry metrics, int bodyLimitBytes, BooleanSupplier draining) {
        this.metrics = metrics;
        this.bodyLimitBytes = bodyLimitBytes;
        this.draining = draining;
    }

    <T> Mono<Void> withBody(
            HttpServerRequest request,
            HttpServerResponse response,
            Class<T> type,
            Function<T, Mono<ApiResponse>> handler) {
        Mono<ApiResponse> result = body(request).flatMap(bytes -> handler.apply(json.decode(bytes, type)));
        return send(response, result);
    }

    Mono<Void> withText(
            HttpServerRequest request, HttpServerResponse response, Function<String, Mono<ApiResponse>> handler) {
        return send(response, body(request).flatMap(bytes -> handler.apply(new String(bytes, StandardCharsets.UTF_8))));
    }

    Mono<Void> send(HttpServerResponse response, Mono<ApiResponse> result) {
        return onEventLoop(response, result)
                .onErrorResume(FuchsiawinchException.class, error -> Mono.just(errorResponse(error)))
                .flatMap(ready -> write(response, ready));
    }

    Mono<Void> sendText(HttpServerResponse response, int status, String text) {
        begin(response, status);
        return response.sendString(Mono.just(text)).then();
    }

    /**
     * Passes a result on to the event loop of its connection. If another thread writes a response, the HTTP library may
     * leave a later request on the connection unanswered.
     */
    static <T> Mono<T> onEventLoop(HttpServerResponse response, Mono<T> result) {
        return result.publishOn(Schedulers.fromExecutor(task -> response.withConnection(
                connection -> connection.channel().eventLoop().execute(task))));
    }

    static long waitMs(HttpServerRequest request, long limitMs) {
        String text = new QueryStringDecoder(request.uri())
                .parameters()
                .getOrDefault("waitMs", List.of("0"))
                .get(0);
        try {
            return Math.max(0, Math.min(limitMs, Long.parseLong(text)));
        } catch (NumberFormatException e) {
            throw new InvalidFieldException("waitMs");
        }
    }

    private Mono<byte[]> body(HttpServerRequest request) {
        return request.receive()
                .scanWith(() -> new Body(new byte[0]), this::append)
                .last()
                .map(Body::bytes);
    }

    private Body append(Body received, ByteBuf chunk) {
        int length = received.bytes().length + chunk.readableBytes();
        if (length > bodyLimitBytes) {
            throw new BodyTooLargeException(bodyLimitBytes);
        }
        byte[] joined = Arrays.copyOf(received.bytes(), length);
        chunk.getBytes(chunk.readerIndex(), joined, received.bytes().length, chunk.readableBytes());
        return new Body(joined);
    }

    private Mono<Void> write(HttpServerResponse response, ApiResponse result) {
        begin(response, result.status());
        if (result.body() instanceof Views.ErrorView error
                && error.retryAfterMs().isPresent()) {
            long seconds = Math.max(1, (error.retryAfterMs().getAsLong() + 999) / 1000);
            response.header("Retry-After", Long.toString(seconds));
        }
        return response.header("Content-Type", "application/json")
                .sendByteArray(Mono.just(json.encode(result.body())))
                .then();
    }

    private void begin(HttpServerResponse response, int status) {
        metrics.counter("http.status." + status).inc();
        response.status(status);
        if (draining.getAsBoolean()) {
            response.keepAlive(false);
        }
    }

    private static ApiResponse errorResponse(FuchsiawinchException error) {
        if (error instanceof LoopFullException) {
            return new ApiResponse(
                    429, new Views.ErrorView("OVERLOADED", "the work did not run", OptionalLong.of(1000)));
        }
        int status = error instanceof BodyTooLargeException ? 413 : 400;
        String code = error.getClass().getSimpleName().replace("Exception", "").replaceAll("([a-z])([A-Z])", "$1_$2");
        return ApiResponse.error(status, code.toUpperCase(Locale.ROOT), error.getMessage());
    }

    /**
     * Part of a body that was received so far.
     *
     * @param bytes the bytes
     */
    private record Body(byte[] bytes) {}
}
