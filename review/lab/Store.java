package lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The platform's store: keyed topics of one partition over HTTP, linearizable, with losses that a case asks for. */
public final class Store implements AutoCloseable {

    /** Answer time of a call in ms, as the site file gives it. */
    private static final long ANSWER_MS = 4;

    private static final int PAGE_ITEMS = 500;
    private static final int MAX_READ_BYTES = 1024 * 1024;
    private static final int KEPT_REPEATS = 5;

    /** A record of a topic. */
    public record Rec(String key, byte[] value) {}

    /** What happens to an append. */
    public enum Fate {
        /** It is executed and answered. */
        ANSWERED,
        /** It is not answered, and executed later. */
        LATE
    }

    /** Decides the fate of an append. */
    public interface Appends {
        Fate fate(List<Rec> records, boolean fenced);
    }

    private static final class Producer {
        long epoch = Long.MIN_VALUE;
        long next;
        final Map<Long, long[]> repeats = new LinkedHashMap<>();
    }

    private static final class Topic {
        final List<Rec> records = new ArrayList<>();
        final TreeMap<String, Integer> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final Recorder recorder;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(Lab::daemon);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(Lab::daemon);
    private volatile Appends appends = (records, fenced) -> Fate.ANSWERED;
    private volatile long lateMs;

    public Store(Recorder recorder) throws IOException {
        this.recorder = recorder;
        this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(threads);
        server.createContext("/-/log-append", exchange -> handle(exchange, this::append));
        server.createContext("/-/log-read", exchange -> handle(exchange, this::read));
        server.createContext("/-/log-newest", exchange -> handle(exchange, this::newest));
        server.start();
    }

    public int port() {
        return server.getAddress().getPort();
    }

    /** Sets what happens to appends from now on, and the delay in ms of those that are late. */
    public void appends(Appends decision, long delayMs) {
        lateMs = delayMs;
        appends = decision;
    }

    /** Writes a record on behalf of the operator or a worker; an empty value removes the key. */
    public synchronized void put(String topic, String key, String value) {
        add(topic(topic), List.of(new Rec(key, value.getBytes(StandardCharsets.UTF_8))));
        notifyAll();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, added -> new Topic());
    }

    private static void add(Topic topic, List<Rec> records) {
        for (Rec record : records) {
            if (record.value().length == 0) {
                topic.newest.remove(record.key());
            } else {
                topic.newest.put(record.key(), topic.records.size());
            }
            topic.records.add(record);
        }
    }

    private interface Handler {
        void handle(HttpExchange exchange, Map<String, String> query, byte[] body) throws Exception;
    }

    private void handle(HttpExchange exchange, Handler handler) {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Thread.sleep(ANSWER_MS);
            handler.handle(exchange, Lab.query(exchange.getRequestURI()), body);
        } catch (IOException e) {
            exchange.close();
        } catch (Exception e) {
            recorder.line("store", "failed", exchange.getRequestURI(), e);
            exchange.close();
        }
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        List<Rec> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.hasRemaining()) {
            byte[] content = new byte[in.getInt()];
            in.get(content);
            int keyLength = Byte.toUnsignedInt(content[0]);
            byte[] value = new byte[content.length - 1 - keyLength];
            System.arraycopy(content, 1 + keyLength, value, 0, value.length);
            records.add(new Rec(new String(content, 1, keyLength, StandardCharsets.UTF_8), value));
        }
        boolean fenced = query.containsKey("producer");
        Fate fate = appends.fate(records, fenced);
        List<String> keys = records.stream().map(Rec::key).toList();
        if (fate == Fate.LATE) {
            recorder.line("store", "append not answered, executed in", lateMs, "ms:", keys);
            timer.schedule(
                    () -> recorder.line("store", "late append of", keys, "->", execute(query, records).status()),
                    lateMs,
                    TimeUnit.MILLISECONDS);
            return;
        }
        Answer answer = execute(query, records);
        if (!fenced) {
            recorder.line("store", "append", keys, "->", answer.status());
        }
        Lab.send(exchange, answer.status(), answer.body());
    }

    private record Answer(int status, String body) {}

    private synchronized Answer execute(Map<String, String> query, List<Rec> records) {
        Topic topic = topic(query.get("topic"));
        Producer producer = null;
        long epoch = 0;
        long sequence = 0;
        if (query.containsKey("producer")) {
            producer = topic.producers.computeIfAbsent(query.get("producer"), name -> new Producer());
            epoch = Long.parseLong(query.get("epoch"));
            sequence = Long.parseLong(query.get("sequence"));
            if (epoch < producer.epoch) {
                return new Answer(409, "{\"reason\":\"fenced\"}");
            }
            if (epoch == producer.epoch) {
                long[] repeat = producer.repeats.get(sequence);
                if (repeat != null) {
                    return stored(repeat);
                }
                if (sequence != producer.next) {
                    return new Answer(409, "{\"reason\":\"seq\",\"expected\":" + producer.next + "}");
                }
            }
        }
        long end = topic.records.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
            return new Answer(412, "{\"end\":" + end + "}");
        }
        add(topic, records);
        long[] offsets = {end, topic.records.size()};
        if (producer != null) {
            if (epoch > producer.epoch) {
                producer.repeats.clear();
            }
            producer.epoch = epoch;
            producer.next = sequence + 1;
            producer.repeats.put(sequence, offsets);
            long oldest = sequence - KEPT_REPEATS;
            producer.repeats.keySet().removeIf(kept -> kept <= oldest);
        }
        notifyAll();
        return stored(offsets);
    }

    private static Answer stored(long[] offsets) {
        return new Answer(200, "{\"offset\":" + offsets[0] + ",\"end\":" + offsets[1] + "}");
    }

    private void read(HttpExchange exchange, Map<String, String> query, byte[] body)
            throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("waitMs", "0"));
        int from = Integer.parseInt(query.get("from"));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            while (topic.records.size() <= from) {
                long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
                if (leftMs <= 0) {
                    break;
                }
                wait(leftMs);
            }
            out.writeBytes(ByteBuffer.allocate(16)
                    .putLong(topic.records.size())
                    .putLong(0)
                    .array());
            for (int i = from; i < topic.records.size() && out.size() < MAX_READ_BYTES; i++) {
                Rec record = topic.records.get(i);
                byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
                out.writeBytes(ByteBuffer.allocate(4)
                        .putInt(1 + key.length + record.value().length)
                        .array());
                out.write(key.length);
                out.writeBytes(key);
                out.writeBytes(record.value());
            }
        }
        Lab.send(exchange, 200, out.toByteArray());
    }

    private void newest(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        List<Object> items = new ArrayList<>();
        boolean more = false;
        long end;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            end = topic.records.size();
            for (Map.Entry<String, Integer> entry :
                    topic.newest.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
                if (items.size() == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                byte[] value = topic.records.get(entry.getValue()).value();
                items.add(Json.map(
                        "key", entry.getKey(),
                        "value", Base64.getEncoder().encodeToString(value),
                        "offset", entry.getValue()));
            }
        }
        Lab.send(exchange, 200, Json.write(Json.map("items", items, "hasMore", more, "end", end)));
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
        timer.shutdownNow();
    }
}
