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
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

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
    private static final long CHECK_INTERVAL_MS = 5;
    private static final int DEFAULT_READ_KB = 1024;
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
    private final HeldCalls heldReads = new HeldCalls();
    private final HeldCalls heldRenewals = new HeldCalls();
    private final DisposableServer server;
    private final List<DisposableServer> workerServers = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "standin-timer");
        thread.setDaemon(true);
        return thread;
    });
    private boolean storeDown;
    private boolean storeSilent;
    private long storeDelayMs;
    private BooleanSupplier losesAnswer = () -> false;

    /**
     * Binds a free port and starts to listen.
     *
     * @param clock supplies the present time in ms since the Unix epoch
     */
    public UserPlatformServer(LongSupplier clock) {
        this.clock = clock;
        this.server = bind();
        timer.scheduleWithFixedDelay(this::advance, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private DisposableServer bind() {
        return HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .handle(this::handle)
                .bindNow();
    }

    /** Ends runs whose time is over, and answers held calls. */
    private void advance() {
        synchronized (this) {
            long nowMs = clock.getAsLong();
            workers.values().forEach(worker -> worker.advance(nowMs));
        }
        heldReads.check();
        heldRenewals.check();
    }

    /**
     * Returns the address that serves the topics and the workers.
     *
     * @return IP address and port, separated by a colon
     */
    public String address() {
        return address(server);
    }

    /**
     * Binds another free port, for a worker that has to be reached over connections of its own.
     *
     * @return IP address and port, separated by a colon
     */
    public synchronized String addAddress() {
        DisposableServer added = bind();
        workerServers.add(added);
        return address(added);
    }

    private static String address(DisposableServer listening) {
        return "127.0.0.1:" + listening.port();
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
     * Lets calls on the topics go unanswered, or ends this. Reads that are held at that time are never answered.
     *
     * @param silent whether calls on the topics are neither carried out nor answered
     */
    public synchronized void setStoreSilent(boolean silent) {
        storeSilent = silent;
        if (silent) {
            heldReads.drop();
        }
    }

    /**
     * Delays each answer to a call on the topics.
     *
     * @param delayMs delay in ms; 0 for none
     */
    public synchronized void setStoreDelayMs(long delayMs) {
        storeDelayMs = delayMs;
    }

    /**
     * Sets which calls on the topics are carried out and never answered.
     *
     * @param decision asked once for each call
     */
    public synchronized void setLostAnswers(BooleanSupplier decision) {
        losesAnswer = decision;
    }

    /**
     * Returns whether the store carries out and answers calls.
     *
     * @return false while it refuses calls or is silent
     */
    public synchronized boolean storeAvailable() {
        return !storeDown && !storeSilent;
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
        timer.shutdownNow();
        server.disposeNow();
        workerServers.forEach(DisposableServer::disposeNow);
    }

    private KeyedLog topic(String name) {
        return topics.computeIfAbsent(name, added -> new KeyedLog());
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
        Mono<Reply> reply =
                switch (path) {
                    case "/-/log-append" -> Mono.fromSupplier(() -> append(query, body));
                    case "/-/log-read" -> heldReads.answer(() -> read(query, clock.getAsLong() >= untilMs));
                    case "/-/log-newest" -> Mono.fromSupplier(() -> latest(query));
                    default -> Mono.just(Reply.empty(NOT_FOUND));
                };
        return reply.flatMap(this::underway);
    }

    /** Returns the answer as it reaches the caller: at once, late or never. */
    private synchronized Mono<Reply> underway(Reply reply) {
        if (storeSilent || losesAnswer.getAsBoolean()) {
            return Mono.never();
        }
        return storeDelayMs == 0 ? Mono.just(reply) : Mono.just(reply).delayElement(Duration.ofMillis(storeDelayMs));
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
        int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("maxKb", "" + DEFAULT_READ_KB));
        for (KeyedLog.KeyedRecord record : records) {
            if (out.size() >= maxBytes) {
                break;
            }
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
        Map<String, Long> offsets = log.latestOffsets();
        List<String> keys = offsets.keySet().stream()
                .sorted()
                .filter(key -> key.compareTo(query.getOrDefault("after", "")) > 0)
                .toList();
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        keys.stream().limit(MAX_PAGE_ITEMS).forEach(key -> {
            long offset = offsets.get(key);
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
            return hold(id, order, untilMs);
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

    /** Renews a worker's lease; the answer waits for an end of a run, for a higher epoch or for the given time. */
    private synchronized Mono<Reply> hold(String id, JsonNode order, long untilMs) {
        UserPlatformWorker worker = workers.get(id);
        if (worker == null) {
            return Mono.just(Reply.empty(MISDIRECTED_REQUEST));
        }
        long epoch = order.path("fencingToken").asLong();
        worker.renewLease(
                epoch, order.path("deadlineMs").asLong(), order.path("observed").asLong(), clock.getAsLong());
        return heldRenewals.answer(() -> {
            synchronized (this) {
                long nowMs = clock.getAsLong();
                return nowMs >= untilMs || worker.answersHeldRenewal(epoch) ? renewalReply(worker, epoch, nowMs) : null;
            }
        });
    }

    private static Reply renewalReply(UserPlatformWorker worker, long epoch, long nowMs) {
        ObjectNode answer =
                JSON.createObjectNode().put("clockMs", worker.clockMs(nowMs)).put("born", worker.startTimeMs());
        if (worker.fenced(epoch)) {
            return Reply.json(CONFLICT, answer.put("reason", "fence"));
        }
        ArrayNode running = answer.putArray("running");
        worker.running().forEach((task, run) -> running.addArray()
                .add(task)
                .add(run.number())
                .add("")
                .add(worker.progressPercent(task, nowMs)));
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
