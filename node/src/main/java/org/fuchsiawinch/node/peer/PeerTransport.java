package org.fuchsiawinch.node.peer;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.model.FuchsiawinchException;
import org.fuchsiawinch.wire.PeerCodec;
import org.fuchsiawinch.wire.PeerMessage;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Sends and receives frames between nodes over TCP: a length of four bytes, a tag, a MessagePack message. Messages are
 * dropped if the queue of a connection is full or the connection fails; a failed connection is closed, and the next
 * message opens a new one. The protocols that use this transport repeat their messages. Thread-safe.
 */
final class PeerTransport {

    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAX_QUEUED_MESSAGES = 256;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final PeerCodec codec;
    private final Consumer<PeerMessage> receiver;
    private final Meter sentBytes;
    private final Meter receivedBytes;
    private final Meter refusedFrames;
    private final Map<Endpoint, OutgoingConnection> outgoing = new ConcurrentHashMap<>();

    PeerTransport(PeerCodec codec, Consumer<PeerMessage> receiver, MetricRegistry metrics) {
        this.codec = codec;
        this.receiver = receiver;
        this.sentBytes = metrics.meter("peer.sent_bytes");
        this.receivedBytes = metrics.meter("peer.received_bytes");
        this.refusedFrames = metrics.meter("peer.refused_frames");
    }

    DisposableServer listen(String host, int port) {
        return TcpServer.create()
                .host(host)
                .port(port)
                .doOnConnection(connection -> {
                    addFrameCodec(connection);
                    connection.onReadIdle(IDLE_TIMEOUT.toMillis(), connection::dispose);
                })
                .handle((in, out) ->
                        in.receive().asByteArray().doOnNext(this::receive).then())
                .bindNow();
    }

    void send(Endpoint to, PeerMessage message) {
        byte[] frame = codec.encode(message);
        sentBytes.mark(frame.length + LENGTH_BYTES);
        outgoing.computeIfAbsent(to, this::open).offer(frame);
    }

    private OutgoingConnection open(Endpoint to) {
        OutgoingConnection outgoingConnection = new OutgoingConnection();
        TcpClient.create()
                .host(to.host())
                .port(to.port())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .doOnConnected(PeerTransport::addFrameCodec)
                .handle((in, out) -> out.send(
                                outgoingConnection.frames.asFlux().map(frame -> Unpooled.wrappedBuffer(frame)),
                                frame -> true)
                        .then())
                .connect()
                .flatMap(connection -> connection.onDispose())
                .onErrorResume(error -> Mono.empty())
                .doFinally(signal -> outgoing.remove(to, outgoingConnection))
                .subscribe();
        return outgoingConnection;
    }

    private void receive(byte[] frame) {
        receivedBytes.mark(frame.length + LENGTH_BYTES);
        try {
            receiver.accept(codec.decode(frame));
        } catch (FuchsiawinchException e) {
            refusedFrames.mark();
        }
    }

    private static void addFrameCodec(Connection connection) {
        connection.addHandlerLast(
                "frame-in", new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        connection.addHandlerLast("frame-out", new LengthFieldPrepender(LENGTH_BYTES));
    }

    /** Connection to one node with its queue of frames to send. */
    private static final class OutgoingConnection {
        private final Sinks.Many<byte[]> frames =
                Sinks.many().unicast().onBackpressureBuffer(new ArrayBlockingQueue<>(MAX_QUEUED_MESSAGES));

        private synchronized void offer(byte[] frame) {
            frames.tryEmitNext(frame);
        }
    }
}
