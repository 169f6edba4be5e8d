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
 * Serves the stand-in's topics and workers over HTTP on the loopback interface, with the paths and fields of the users'
 * platform. All workers share one address; each call selects its worker by the expected-instance header. Thread-safe;
 * listens until it is closed.
 */
public final class UserPlatformServer implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
    private static final String EXPECTED_INSTANCE_HEADER = "X-Fuchsiawinch-Expected-Instance";
    private static final int MAX_PAGE_ITEMS = 500;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int UNAVAILABLE = 503;

    private final LongSupplier clock;
    private final Map<String, KeyedLog> topics = new LinkedHashMap<>();
    private final Map<String, UserPlatformWorker> workers = new LinkedHashMap<>();
    private final DisposableServer server;
    private boolean storeDown;
    private boolean storeSilent;

    /**
     * Binds a free port and starts to listen.
     *
     * @param clock supplies the present time in ms since the Unix epoch
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
     * Returns the address that serves the topics and the workers.
     *
     * @return IP address and port, separated by a colon
     */
    public String address() {
        return "127.0.0.1:" + server.port();
    }

    /**
     * Appends a record on behalf of an operator or a worker.
     *
     * @param topic name of the topic, created if absent
     * @param key key of the record
     * @param value value as text
     */
    public synchronized void put(String topic, String key, String value) {
        topic(topic).put(key, value);
    }

    /**
     * Makes all present offsets of a topic unreadable; the latest record of each key is kept.
     *
     * @param topic name of the topic
     */
    public synchronized void compact(String topic) {
        topic(topic).compact();
    }

    /**
     * Starts or ends an outage of the store that holds all topics.
     *
     * @param down whether calls on the topics are answered with HTTP status 503
     */
    public synchronized void setStoreDown(boolean down) {
        storeDown = down;
    }

    /**
     * Lets new calls on the topics go unanswered, or ends this.
     *
     * @param silent whether new calls on the topics are neither carried out nor answered
     */
    public synchronized void setStoreSilent(boolean silent) {
        storeSilent = silent;
    }

    private synchronized boolean storeSilent() {
        return storeSilent;
    }

    /**
     * Adds a worker, or replaces the one of the same id as a restart does.
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

    /** HTTP status and body of an answer. */
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
            return handleTopicCall(uri.path(), query, body);
        }
        return handleWorkerCall(uri.path(), request.requestHeaders().get(EXPECTED_INSTANCE_HEADER, ""), body);
    }

    private Mono<Reply> handleTopicCall(String path, Map<String, String> query, byte[] body) {
        if (storeSilent()) {
            return Mono.never();
        }
        long untilMs = clock.getAsLong() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        return switch (path) {
            case "/-/log-append" -> Mono.fromSupplier(() -> append(query, body));
            case "/-/log-read" -> pollUntilPresent(() -> read(query, clock.getAsLong() >= untilMs));
            case "/-/log-newest" -> Mono.fromSupplier(() -> latest(query));
            default -> Mono.just(Reply.empty(NOT_FOUND));
        };
    }

    /** Calls {@code attempt} until it returns a reply; null means that the call still waits. */
    private Mono<Reply> pollUntilPresent(Supplier<Reply> attempt) {
        return Mono.defer(() -> Mono.justOrEmpty(attempt.get()))
                .repeatWhenEmpty(tries -> tries.delayElements(POLL_INTERVAL));
    }

    private synchronized Reply append(Map<String, String> query, byte[] body) {
        if (storeDown) {
            return Reply.empty(UNAVAILABLE);
        }
        List<KeyedLog.KeyedRecord> records = new ArrayList<>();
        // Each record: length (4 bytes), length of the key (1 byte), key in UTF-8, value.
        ByteBuffer input = ByteBuffer.wrap(body);
        while (input.hasRemaining()) {
            byte[] content = new byte[input.getInt()];
            input.get(content);
            int keyLength = Byte.toUnsignedInt(content[0]);
            String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = new byte[content.length - 1 - keyLength];
            System.arraycopy(content, 1 + keyLength, value, 0, value.length);
            records.add(new KeyedLog.KeyedRecord(key, value));
        }
        KeyedLog.AppendId appendId = query.containsKey("producer")
                ? new KeyedLog.AppendId(
                        query.get("producer"),
                        Long.parseLong(query.get("epoch")),
                        Long.parseLong(query.get("sequence")))
                : null;
        OptionalLong at =
                query.containsKey("at") ? OptionalLong.of(Long.parseLong(query.get("at"))) : OptionalLong.empty();
        KeyedLog.Result result = topic(query.get("topic")).append(records, appendId, at);
        ObjectNode answer = JSON.createObjectNode();
        if (result instanceof KeyedLog.Result.Stored stored) {
            return Reply.json(200, answer.put("offset", stored.offset()).put("end", stored.end()));
        }
        if (result instanceof KeyedLog.Result.EndMismatch mismatch) {
            return Reply.json(PRECONDITION_FAILED, answer.put("end", mismatch.end()));
        }
        return Reply.json(CONFLICT, answer.put("reason", ((KeyedLog.Result.Conflict) result).reason()));
    }

    /** Returns the records from an offset on; null if there are none yet and the wait is not over. */
    private synchronized Reply read(Map<String, String> query, boolean timedOut) {
        if (storeDown) {
            return Reply.empty(UNAVAILABLE);
        }
        KeyedLog log = topic(query.get("topic"));
        long from = Long.parseLong(query.get("from"));
        if (from < log.firstOffset()) {
            return Reply.json(GONE, JSON.createObjectNode().put("first", log.firstOffset()));
        }
        List<KeyedLog.KeyedRecord> records = log.readFrom(from);
        if (records.isEmpty() && !timedOut) {
            return null;
        }
        // End offset and first offset (8 bytes each), then the records in the format of an append.
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(log.endOffset())
                .putLong(log.firstOffset())
                .array());
        for (KeyedLog.KeyedRecord record : records) {
            byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
            out.writeBytes(ByteBuffer.allocate(Integer.BYTES)
                    .putInt(1 + key.length + record.value().length)
                    .array());
            out.write(key.length);
            out.writeBytes(key);
            out.writeBytes(record.value());
        }
        return new Reply(200, out.toByteArray());
    }

    private synchronized Reply latest(Map<String, String> query) {
        if (storeDown) {
            return Reply.empty(UNAVAILABLE);
        }
        KeyedLog log = topic(query.get("topic"));
        List<String> keys = log.latestOffsets().keySet().stream()
                .sorted()
                .filter(key -> key.compareTo(query.getOrDefault("after", "")) > 0)
                .toList();
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        keys.stream().limit(MAX_PAGE_ITEMS).forEach(key -> {
            long offset = log.latestOffsets().get(key);
            items.addObject()
                    .put("key", key)
                    .put(
                            "value",
                            Base64.getEncoder()
                                    .encodeToString(log.recordAt(offset).value()))
                    .put("offset", offset);
        });
        return Reply.json(
                200, answer.put("hasMore", keys.size() > MAX_PAGE_ITEMS).put("end", log.endOffset()));
    }

    private Mono<Reply> handleWorkerCall(String path, String id, byte[] body) {
        JsonNode order;
        try {
            order = JSON.readTree(body);
        } catch (IOException e) {
            return Mono.just(Reply.json(400, JSON.createObjectNode().put("error", e.getMessage())));
        }
        long untilMs = clock.getAsLong() + order.path("waitMs").asLong();
        if (path.equals("/-/hold")) {
            return pollUntilPresent(() -> hold(id, order, clock.getAsLong() >= untilMs));
        }
        return Mono.fromSupplier(() -> execute(path, id, order));
    }

    private synchronized Reply execute(String path, String id, JsonNode order) {
        UserPlatformWorker worker = workers.get(id);
        if (worker == null) {
            return Reply.empty(MISDIRECTED_REQUEST);
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

    /** Renews a worker's lease; null if no end of a run is unacknowledged and the wait is not over. */
    private synchronized Reply hold(String id, JsonNode order, boolean timedOut) {
        UserPlatformWorker worker = workers.get(id);
        if (worker == null) {
            return Reply.empty(MISDIRECTED_REQUEST);
        }
        long nowMs = clock.getAsLong();
        ObjectNode answer =
                JSON.createObjectNode().put("clockMs", worker.clockMs(nowMs)).put("born", worker.startTimeMs());
        long epoch = order.path("fencingToken").asLong();
        if (!worker.renewLease(
                epoch, order.path("deadlineMs").asLong(), order.path("observed").asLong(), nowMs)) {
            return Reply.json(CONFLICT, answer.put("reason", "fence"));
        }
        if (worker.endedRuns().isEmpty() && !timedOut) {
            return null;
        }
        ArrayNode running = answer.putArray("running");
        worker.running()
                .forEach((task, run) ->
                        running.addArray().add(task).add(run.number()).add("").add(worker.progressPercent(run, nowMs)));
        ArrayNode finished = answer.putArray("finished");
        worker.endedRuns().forEach(end -> finished.addArray()
                .add(end.sequence())
                .add(end.task())
                .add(end.run())
                .add(end.outcome())
                .add(""));
        return Reply.json(200, answer);
    }
}
