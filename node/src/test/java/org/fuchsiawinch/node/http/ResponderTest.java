package org.fuchsiawinch.node.http;

import java.time.Duration;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.netty.channel.EventLoop;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import static org.testng.Assert.assertEquals;

/** Checks on which thread results become responses. */
public class ResponderTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int BODY_LIMIT_BYTES = 1024;

    private final Responder responder = new Responder(new MetricRegistry(), BODY_LIMIT_BYTES, () -> false);

    @Test
    public void writesResultsOfOtherThreadsOnTheEventLoop() {
        DisposableServer server = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .handle(this::answer)
                .bindNow();
        try {
            String body = HttpClient.create()
                    .get()
                    .uri("http://127.0.0.1:" + server.port() + "/")
                    .responseContent()
                    .aggregate()
                    .asString()
                    .block(TIMEOUT);
            assertEquals(body, "{\"encodedOnEventLoop\":true}");
        } finally {
            server.disposeNow();
        }
    }

    private Mono<Void> answer(HttpServerRequest request, HttpServerResponse response) {
        return responder.send(
                response,
                Mono.create(sink -> response.withConnection(connection -> {
                    ApiResponse result =
                            ApiResponse.ok(new View(connection.channel().eventLoop()));
                    new Thread(() -> sink.success(result), "another").start();
                })));
    }

    /** Body that tells where it is encoded. */
    private static final class View {
        private final EventLoop eventLoop;

        private View(EventLoop eventLoop) {
            this.eventLoop = eventLoop;
        }

        @JsonProperty
        boolean encodedOnEventLoop() {
            return eventLoop.inEventLoop();
        }
    }
}
