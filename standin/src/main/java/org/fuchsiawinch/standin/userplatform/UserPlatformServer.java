package org.fuchsiawinch.standin.userplatform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves the stand-in's log and workers over HTTP on loopback, with the platform's names. All workers share the address
 * and are told apart by the id that each call expects. Thread-safe; lives until it is closed.
 */
public final class UserPlatformServer implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration POLL = Duration.ofMillis(5);
    private static final String EXPECTED_WORKER = "X-Fuchsiawinch-Expected-Instance";
    private static final int PAGE = 500;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int OTHER_WORKER = 421;
    private static final int UNAVAILABLE = 503;

    private final LongSupplier clock;
    private final Map<String, KeyedLog> topics = new LinkedHashMap<>();
    private final Map<String, UserPlatformWorker> workers = new LinkedHashMap<>();
    private final DisposableServer server;
    private boolean storeDown;

    /**
     * Starts to serve.
     *
     * @param clock present time in ms since the epoch
     */
    public UserPlatformServer(LongSupplier clock) {
        this.clock = clock;
        this.server = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .handle(this::handle)
                .bindNow();
    }

    /**
     * Gives the address of log and workers.
     *
     * @return IP number and port
     */
    public String address() {
        return "127.0.0.1:" + server.port();
    }

    /**
     * Writes a record as the operator or a worker does.
     *
     * @param topic the topic
     * @param key the key
     * @param value the value
     */
    public synchronized void put(String topic, String key, String value) {
        topic(topic).put(key, value);
    }

    /**
     * Forgets the history of a topic.
     *
     * @param topic the topic
     */
    public synchronized void compact(String topic) {
        topic(topic).compact();
    }

    /**
     * Turns the store off or on.
     *
     * @param down whether each call is refused
     */
    public synchronized void setStoreDown(boolean down) {
        storeDown = down;
    }

    /**
     * Adds a worker, or starts one again under its id.
     *
     * @param worker the worker
     */
    public synchronized void addWorker(UserPlatformWorker worker) {
        workers.put(worker.id(), worker);
    }

    @Override
    public void close() {
        server.disposeNow();
    }

    private KeyedLog topic(String name) {
        return topics.computeIfAbsent(name, added -> new KeyedLog());
    }

    /** An answer, or null as long as the call waits. */
    private record Reply(int status, byte[] body) {

        static Reply json(int status, JsonNode body) {
            return new Reply(status, body.toString().getBytes(StandardCharsets.UTF_8));
        }

        static Reply empty(int status) {
            return new Reply(status, new byte[0]);
        }
    }

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(body -> reply(request, body))
                .flatMap(reply -> response.status(reply.status())
                        .sendByteArray(Mono.just(reply.body()))
                        .then());
    }

    private Mono<Reply> reply(HttpServerRequest request, byte[] body) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        Map<String, String> query = new LinkedHashMap<>();
        uri.parameters().forEach((name, values) -> query.put(name, values.get(0)));
        if (uri.path().startsWith("/-/log-")) {
            return store(uri.path(), query, body);
        }
        return worker(uri.path(), request.requestHeaders().get(EXPECTED_WORKER, ""), body);
    }

    private Mono<Reply> store(String path, Map<String, String> query, byte[] body) {
        long untilMs = clock.getAsLong() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        return switch (path) {
            case "/-/log-append" -> Mono.fromSupplier(() -> append(query, body));
            case "/-/log-read" -> waitFor(() -> read(query, clock.getAsLong() >= untilMs));
            case "/-/log-newest" -> Mono.fromSupplier(() -> newest(query));
            default -> Mono.just(Reply.empty(NOT_FOUND));
        };
    }

    private Mono<Reply> waitFor(Supplier<Reply> attempt) {
        return Mono.defer(() -> Mono.justOrEmpty(attempt.get())).repeatWhenEmpty(tries -> tries.delayElements(POLL));
    }

    private synchronized Reply append(Map<String, String> query, byte[] body) {
        if (storeDown) {
            return Reply.empty(UNAVAILABLE);
        }
        List<KeyedLog.Entry> entries = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.hasRemaining()) {
            byte[] content = new byte[in.getInt()];
            in.get(content);
            int keyLength = Byte.toUnsignedInt(content[0]);
            String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = new byte[content.length - 1 - keyLength];
            System.arraycopy(content, 1 + keyLength, value, 0, value.length);
            entries.add(new KeyedLog.Entry(key, value));
        }
        KeyedLog.Writer writer = query.containsKey("producer")
                ? new KeyedLog.Writer(
                        query.get("producer"),
                        Long.parseLong(query.get("epoch")),
                        Long.parseLong(query.get("sequence")))
                : null;
        OptionalLong at =
                query.containsKey("at") ? OptionalLong.of(Long.parseLong(query.get("at"))) : OptionalLong.empty();
        KeyedLog.Result result = topic(query.get("topic")).append(entries, writer, at);
        ObjectNode answer = JSON.createObjectNode();
        if (result instanceof KeyedLog.Result.Stored stored) {
            return Reply.json(200, answer.put("offset", stored.offset()).put("end", stored.end()));
        }
        if (result instanceof KeyedLog.Result.Moved moved) {
            return Reply.json(PRECONDITION_FAILED, answer.put("end", moved.end()));
        }
        return Reply.json(CONFLICT, answer.put("reason", ((KeyedLog.Result.Conflict) result).reason()));
    }

    private synchronized Reply read(Map<String, String> query, boolean last) {
        if (storeDown) {
            return Reply.empty(UNAVAILABLE);
        }
        KeyedLog log = topic(query.get("topic"));
        long from = Long.parseLong(query.get("from"));
        if (from < log.first()) {
            return Reply.json(GONE, JSON.createObjectNode().put("first", log.first()));
        }
        List<KeyedLog.Entry> entries = log.from(from);
        if (entries.isEmpty() && !last) {
            return null;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(log.end())
                .putLong(log.first())
                .array());
        for (KeyedLog.Entry entry : entries) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeBytes(ByteBuffer.allocate(Integer.BYTES)
                    .putInt(1 + key.length + entry.value().length)
                    .array());
            out.write(key.length);
            out.writeBytes(key);
            out.writeBytes(entry.value());
        }
        return new Reply(200, out.toByteArray());
    }

    private synchronized Reply newest(Map<String, String> query) {
        if (storeDown) {
            return Reply.empty(UNAVAILABLE);
        }
        KeyedLog log = topic(query.get("topic"));
        List<String> keys = log.newest().keySet().stream()
                .sorted()
                .filter(key -> key.compareTo(query.getOrDefault("after", "")) > 0)
                .toList();
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        keys.stream().limit(PAGE).forEach(key -> {
            long offset = log.newest().get(key);
            items.addObject()
                    .put("key", key)
                    .put(
                            "value",
                            Base64.getEncoder().encodeToString(log.at(offset).value()))
                    .put("offset", offset);
        });
        return Reply.json(200, answer.put("hasMore", keys.size() > PAGE).put("end", log.end()));
    }

    private Mono<Reply> worker(String path, String id, byte[] body) {
        JsonNode order;
        try {
            order = JSON.readTree(body);
        } catch (IOException e) {
            return Mono.just(Reply.json(400, JSON.createObjectNode().put("error", e.getMessage())));
        }
        long untilMs = clock.getAsLong() + order.path("waitMs").asLong();
        if (path.equals("/-/hold")) {
            return waitFor(() -> hold(id, order, clock.getAsLong() >= untilMs));
        }
        return Mono.fromSupplier(() -> order(path, id, order));
    }

    private synchronized Reply order(String path, String id, JsonNode order) {
        UserPlatformWorker worker = workers.get(id);
        if (worker == null) {
            return Reply.empty(OTHER_WORKER);
        }
        long nowMs = clock.getAsLong();
        String task = order.path("task").asText();
        int run = order.path("run").asInt();
        long epoch = order.path("fencingToken").asLong();
        ObjectNode answer = JSON.createObjectNode().put("clockMs", worker.clockMs(nowMs));
        String reason =
                switch (path) {
                    case "/-/run-start" ->
                        worker.start(task, run, epoch, order.path("deadlineMs").asLong(), nowMs);
                    case "/-/run-stop" -> worker.stop(task, run, epoch, nowMs) ? "" : "fence";
                    default -> "unknown";
                };
        return reason.isEmpty() ? Reply.json(200, answer) : Reply.json(CONFLICT, answer.put("reason", reason));
    }

    private synchronized Reply hold(String id, JsonNode order, boolean last) {
        UserPlatformWorker worker = workers.get(id);
        if (worker == null) {
            return Reply.empty(OTHER_WORKER);
        }
        long nowMs = clock.getAsLong();
        ObjectNode answer =
                JSON.createObjectNode().put("clockMs", worker.clockMs(nowMs)).put("born", worker.bornMs());
        long epoch = order.path("fencingToken").asLong();
        if (!worker.hold(
                epoch, order.path("deadlineMs").asLong(), order.path("observed").asLong(), nowMs)) {
            return Reply.json(CONFLICT, answer.put("reason", "fence"));
        }
        if (worker.ends().isEmpty() && !last) {
            return null;
        }
        ArrayNode running = answer.putArray("running");
        worker.running()
                .forEach((task, run) ->
                        running.addArray().add(task).add(run.number()).add("").add(worker.percent(run, nowMs)));
        ArrayNode finished = answer.putArray("finished");
        worker.ends().forEach(end -> finished.addArray()
                .add(end.sequence())
                .add(end.task())
                .add(end.run())
                .add(end.how())
                .add(""));
        return Reply.json(200, answer);
    }
}
