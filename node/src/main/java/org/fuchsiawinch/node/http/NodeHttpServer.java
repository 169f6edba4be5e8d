package org.fuchsiawinch.node.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.node.loop.NodeLoop;
import org.fuchsiawinch.node.records.BurnReportRecorder;
import org.fuchsiawinch.wire.PeerMessage;
import org.fuchsiawinch.wire.PlatformMessages;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP server of the callers' and operators' API; listens from {@link #start} to {@link #stop}. */
public final class NodeHttpServer {

    private static final int MAX_HEADER_BYTES = 8192;
    /** Maximum time to receive a whole request; the wait for its reply is not limited by it. */
    private static final Duration REQUEST_READ_TIMEOUT = Duration.ofSeconds(10);
    /** Time without requests after which a connection is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);

    /** Time without new connections after which the port is closed; longer than 1 s between a balancer's checks. */
    private static final long LAST_CONNECTION_MS = 1200;
    /** Maximum time until the port is closed: a balancer drops the node after two failed checks. */
    private static final long PORT_TIMEOUT_MS = 3000;
    /** Maximum time to answer the requests in progress once the port is closed. */
    private static final long ANSWER_TIMEOUT_MS = 10_000;
    /** Time without requests after which no connection that was accepted last still has one to be read. */
    private static final long QUIET_MS = 100;

    /** Maximum time to send the answers to requests that got no reply. */
    private static final long LAST_ANSWER_TIMEOUT_MS = 2000;

    private static final long CLOSE_TIMEOUT_MS = 1000;
    private static final long POLL_INTERVAL_MS = 20;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final ServerActivity activity;
    private final OpenRequests openRequests;
    private final LongSupplier clock;
    private final HttpServer server;
    private volatile DisposableServer running;

    /**
     * Creates a server that does not listen yet.
     *
     * @param host IP address to listen on
     * @param port TCP port
     * @param bodyLimitBytes maximum size of a request body in bytes
     * @param foundingToken token that authorizes founding the document; empty for none
     * @param loop loop that owns the node state machine
     * @param openRequests requests that wait for a reply
     * @param document supplies the document in force
     * @param metrics the node's metrics
     * @param status the node's status
     * @param recorder recorder of the records for the burn report
     * @param workers supplies the platform's last list of workers
     * @param nodes supplies the last status of each node; empty for a node without peers
     * @param clock source of the present monotonic time in ms
     */
    public NodeHttpServer(
            String host,
            int port,
            int bodyLimitBytes,
            String foundingToken,
            NodeLoop loop,
            OpenRequests openRequests,
            Supplier<Optional<Document>> document,
            MetricRegistry metrics,
            NodeStatus status,
            BurnReportRecorder recorder,
            Supplier<List<PlatformMessages.ListedWorker>> workers,
            Supplier<List<PeerMessage.NodeStatusMessage>> nodes,
            LongSupplier clock) {
        this.clock = clock;
        this.openRequests = openRequests;
        this.activity = new ServerActivity(clock.getAsLong());
        TokenAuthenticator authenticator = new TokenAuthenticator(document, foundingToken);
        Responder responder = new Responder(metrics, bodyLimitBytes, status::draining);
        CallerRoutes callers = new CallerRoutes(loop, openRequests, authenticator, responder);
        OperatorRoutes operators = new OperatorRoutes(
                loop, openRequests, authenticator, responder, document, metrics, status, recorder, workers, nodes);
        HttpServerRoutes routes = HttpServerRoutes.newRoutes();
        callers.register(routes);
        operators.register(routes);
        this.server = HttpServer.create()
                .host(host)
                .port(port)
                .idleTimeout(IDLE_TIMEOUT)
                .requestTimeout(REQUEST_READ_TIMEOUT)
                .httpRequestDecoder(decoder -> decoder.maxHeaderSize(MAX_HEADER_BYTES))
                .channelGroup(connections)
                .doOnChannelInit((observer, channel, address) -> activity.connectionBegan(clock.getAsLong()))
                .handle((request, response) -> serve(routes, status, request, response));
    }

    /** Binds the port. Throws an exception of the HTTP library if the port is in use. */
    public void start() {
        running = server.bindNow();
    }

    /**
     * Waits until callers have stopped connecting, for at most 3 s, and closes the port; waits until the requests in
     * progress are answered, for at most 10 s; tells callers without a reply that the outcome is unknown, and closes
     * the connections. Every answer has to announce the close meanwhile, as a caller may send a request just before its
     * connection is closed. The waits end early if the thread is interrupted. Does nothing if the port was not opened.
     */
    public void stop() {
        if (running == null) {
            return;
        }
        long beganMs = clock.getAsLong();
        activity.connectionBegan(beganMs);
        await(beganMs + PORT_TIMEOUT_MS, nowMs -> activity.withoutNewConnections(LAST_CONNECTION_MS, nowMs));
        running.channel().close().awaitUninterruptibly(CLOSE_TIMEOUT_MS);
        awaitAnswers(ANSWER_TIMEOUT_MS);
        openRequests.giveUp();
        awaitAnswers(LAST_ANSWER_TIMEOUT_MS);
        connections.close().awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }

    private void awaitAnswers(long timeoutMs) {
        await(clock.getAsLong() + timeoutMs, nowMs -> activity.withoutRequests(QUIET_MS, nowMs));
    }

    private void await(long untilMs, LongPredicate condition) {
        try {
            for (long nowMs = clock.getAsLong(); nowMs < untilMs && !condition.test(nowMs); nowMs = clock.getAsLong()) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Mono<Void> serve(
            HttpServerRoutes routes, NodeStatus status, HttpServerRequest request, HttpServerResponse response) {
        activity.requestBegan();
        if (status.draining()) {
            // also for answers that the HTTP library gives itself
            response.keepAlive(false);
        }
        return Mono.defer(() -> Mono.from(routes.apply(request, response)))
                .doFinally(signal -> activity.requestEnded(clock.getAsLong()));
    }
}
