package org.fuchsiawinch.node.http;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

import org.fuchsiawinch.node.loop.LoopFullException;
import org.fuchsiawinch.node.loop.NodeLoop;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeReply;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** HTTP requests that wait for a reply of the node state machine. Thread-safe. */
public final class OpenRequests {

    private final AtomicLong lastId = new AtomicLong();
    private final Map<Long, MonoSink<NodeReply>> sinks = new ConcurrentHashMap<>();

    /** Creates an instance without open requests. */
    public OpenRequests() {
        // starts empty
    }

    /**
     * Passes a request to the loop when the result is subscribed to.
     *
     * @param loop the loop
     * @param request creates the input with the given request id
     * @return the reply, or the error {@link LoopFullException} if the ring buffer is full
     */
    public Mono<NodeReply> submit(NodeLoop loop, LongFunction<NodeInput> request) {
        return Mono.create(sink -> {
            long id = lastId.incrementAndGet();
            sinks.put(id, sink);
            sink.onDispose(() -> sinks.remove(id));
            if (!loop.tryPublish(request.apply(id))) {
                sink.error(new LoopFullException());
            }
        });
    }

    /**
     * Completes a request with its reply; ignored if the request is no longer open.
     *
     * @param requestId id of the request
     * @param reply the reply
     */
    public void reply(long requestId, NodeReply reply) {
        MonoSink<NodeReply> sink = sinks.remove(requestId);
        if (sink != null) {
            sink.success(reply);
        }
    }

    /** Completes all open requests with the reply that their outcome is unknown. */
    public void giveUp() {
        List.copyOf(sinks.keySet()).forEach(id -> reply(id, new NodeReply.Pending()));
    }
}
