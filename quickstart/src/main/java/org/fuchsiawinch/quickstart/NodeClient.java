package org.fuchsiawinch.quickstart;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import org.fuchsiawinch.wire.JsonCodec;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.util.retry.Retry;

/**
 * Sends requests to the nodes round-robin. If a submission fails or the job is not finished yet, the job is submitted
 * again to the next node with the same key. Thread-safe.
 */
final class NodeClient {

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    // Retries last at least two minutes in all.
    private static final long MAX_RETRIES = 600;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(8);
    /** Time in ms that a node may wait for a job's outcome before it replies; below {@link #RESPONSE_TIMEOUT}. */
    private static final int MAX_WAIT_MS = 5000;

    private static final int CONFLICT = 409;

    private final List<String> nodes;
    private final HttpClient client = HttpClient.create().responseTimeout(RESPONSE_TIMEOUT);
    private final JsonCodec json = new JsonCodec();
    private final AtomicInteger nextNodeIndex = new AtomicInteger();
    private final AtomicInteger retries = new AtomicInteger();

    NodeClient(List<String> nodes) {
        this.nodes = List.copyOf(nodes);
    }

    /** Founds the document, unless one is in force already, with retries at the same node; returns the HTTP status. */
    Mono<Integer> foundDocument(String text, String token) {
        return post("/v1/document", text.getBytes(StandardCharsets.UTF_8), token)
                .flatMap(response -> response.status() == 200 || response.status() == CONFLICT
                        ? Mono.just(response.status())
                        : Mono.error(new RetryableResponseException("/v1/document", response.status())))
                .retryWhen(retryPolicy());
    }

    /** Submits a job and repeats the submission until a node reports the job as finished. */
    Mono<JobResult> runToCompletion(SampleJob job, String token) {
        byte[] body = json.encode(job);
        return Mono.defer(() -> post("/v1/jobs?waitMs=" + MAX_WAIT_MS, body, token))
                .flatMap(response -> response.status() == 200
                        ? Mono.just(json.decode(response.body(), JobResult.class))
                        : Mono.error(new RetryableResponseException("/v1/jobs", response.status())))
                .retryWhen(retryPolicy());
    }

    /** Submits a job once, without retries, and returns the HTTP status. */
    Mono<Integer> submitOnce(SampleJob job, String token) {
        return post("/v1/jobs", json.encode(job), token).map(Response::status);
    }

    /** Returns the records for the burn report as JSON Lines. */
    Mono<String> records(String token) {
        return Mono.defer(() -> client.headers(headers -> headers.set("Authorization", "Bearer " + token))
                        .get()
                        .uri(nextNode() + "/v1/records")
                        .responseSingle((response, content) -> response.status().code() == 200
                                ? content.asString().defaultIfEmpty("")
                                : Mono.error(new RetryableResponseException(
                                        "/v1/records", response.status().code()))))
                .retryWhen(retryPolicy());
    }

    int retries() {
        return retries.get();
    }

    private Retry retryPolicy() {
        return Retry.fixedDelay(MAX_RETRIES, RETRY_DELAY).doBeforeRetry(signal -> retries.incrementAndGet());
    }

    private Mono<Response> post(String path, byte[] body, String token) {
        return client.headers(headers ->
                        headers.set("Authorization", "Bearer " + token).set("Content-Type", "application/json"))
                .post()
                .uri(nextNode() + path)
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> new Response(response.status().code(), bytes)));
    }

    private String nextNode() {
        return nodes.get(Math.floorMod(nextNodeIndex.getAndIncrement(), nodes.size()));
    }

    /**
     * HTTP response.
     *
     * @param status HTTP status
     * @param body response body; may be empty
     */
    private record Response(int status, byte[] body) {}

    /** Thrown to trigger a retry: the job is not finished yet, or the node did not serve the request. */
    private static final class RetryableResponseException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        private RetryableResponseException(String path, int status) {
            super("HTTP status " + status + " from " + path, null, false, false);
        }
    }
}
