package org.fuchsiawinch.node.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.DefaultEventExecutor;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.node.loop.NodeLoop;
import org.fuchsiawinch.node.records.BurnReportRecorder;
import org.fuchsiawinch.wire.PeerMessage;
import org.fuchsiawinch.wire.PlatformMessages;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** HTTP server of the callers' and operators' API; listens from {@link #start} to {@link #stop}. */
public final class NodeHttpServer {

    private static final int MAX_HEADER_BYTES = 8192;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

    private final HttpServer server;
    private DisposableServer running;

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
            Supplier<List<PeerMessage.NodeStatusMessage>> nodes) {
        TokenAuthenticator authenticator = new TokenAuthenticator(document, foundingToken);
        Responder responder = new Responder(metrics, bodyLimitBytes);
        CallerRoutes callers = new CallerRoutes(loop, openRequests, authenticator, responder);
        OperatorRoutes operators = new OperatorRoutes(
                loop, openRequests, authenticator, responder, document, metrics, status, recorder, workers, nodes);
        this.server = HttpServer.create()
                .host(host)
                .port(port)
                .idleTimeout(IDLE_TIMEOUT)
                .requestTimeout(REQUEST_TIMEOUT)
                .httpRequestDecoder(decoder -> decoder.maxHeaderSize(MAX_HEADER_BYTES))
                .channelGroup(new DefaultChannelGroup(new DefaultEventExecutor()))
                .route(routes -> {
                    callers.register(routes);
                    operators.register(routes);
                });
    }

    /** Binds the port. */
    public void start() {
        running = server.bindNow();
    }

    /** Accepts no new connections, completes the requests in progress, then closes the port. */
    public void stop() {
        running.disposeNow(STOP_TIMEOUT);
    }
}
