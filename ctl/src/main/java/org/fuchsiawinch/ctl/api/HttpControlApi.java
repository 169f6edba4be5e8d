package org.fuchsiawinch.ctl.api;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Calls a node over HTTP with a bearer token. Immutable and thread-safe. */
public final class HttpControlApi implements ControlApi {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client;
    private final String baseUrl;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param node base URL of the node
     * @param token bearer token; empty for none
     * @param timeout maximum time to wait for a reply
     */
    public HttpControlApi(URI node, String token, Duration timeout) {
        String url = node.toString();
        this.baseUrl = url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
        this.timeout = timeout;
        HttpClient baseClient = HttpClient.newConnection().responseTimeout(timeout);
        this.client = token.isEmpty()
                ? baseClient
                : baseClient.headers(headers -> headers.set("Authorization", "Bearer " + token));
    }

    @Override
    public ApiReply read(String path) {
        String url = baseUrl + path;
        return await(url, client.get().uri(url).responseSingle(HttpControlApi::readReply));
    }

    @Override
    public ApiReply send(String path, JsonNode body) {
        return post(path, "application/json", body.toString());
    }

    @Override
    public ApiReply sendText(String path, String text) {
        return post(path, "text/plain; charset=utf-8", text);
    }

    /** HTTP status and undecoded body of a reply. */
    private record RawReply(int status, byte[] bytes) {}

    private static Mono<RawReply> readReply(HttpClientResponse response, ByteBufMono content) {
        int status = response.status().code();
        return content.asByteArray().defaultIfEmpty(new byte[0]).map(bytes -> new RawReply(status, bytes));
    }

    private ApiReply post(String path, String contentType, String body) {
        String url = baseUrl + path;
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return await(
                url,
                client.headers(headers -> headers.set("Content-Type", contentType))
                        .post()
                        .uri(url)
                        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
                        .responseSingle(HttpControlApi::readReply));
    }

    private ApiReply await(String url, Mono<RawReply> pending) {
        RawReply raw = pending.timeout(timeout)
                .onErrorMap(error -> new NodeUnreachableException(url, error))
                .block();
        if (raw.bytes().length == 0) {
            return new ApiReply(raw.status(), JsonNodeFactory.instance.objectNode());
        }
        try {
            return new ApiReply(raw.status(), MAPPER.readTree(raw.bytes()));
        } catch (IOException e) {
            throw new UnreadableReplyException(url, raw.status(), e);
        }
    }
}
