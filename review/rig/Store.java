package rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.sun.net.httpserver.HttpExchange;

/** Stand-in for the platform's metadata store: keyed topics with one partition each. Thread-safe. */
public final class Store {

    private static final int PAGE_ITEMS = 500;
    private static final int LAST_APPENDS = 5;

    private final Map<String, Topic> topics = new HashMap<>();

    private record Rec(String key, byte[] value) {}

    /** Is told of an append of a node before it is answered. */
    public interface Observer {

        void appended(String address, String body, int status) throws Exception;
    }

    private volatile Observer observer = (address, body, status) -> {};

    public void observeBy(Observer newObserver) {
        observer = newObserver;
    }

    private static final class Topic {
        final List<Rec> records = new ArrayList<>();
        final TreeMap<String, Integer> newest = new TreeMap<>();
        final Map<String, Long> epochs = new HashMap<>();
        final Map<String, Long> sequences = new HashMap<>();
        final Map<String, LinkedHashMap<Long, Long>> offsets = new HashMap<>();

        void add(Rec record) {
            if (record.value.length == 0) {
                newest.remove(record.key);
            } else {
                newest.put(record.key, records.size());
            }
            records.add(record);
        }
    }

    /** Opens another address of the store. */
    public String open() throws IOException {
        int port = Http.freePort();
        String address = "127.0.0.1:" + port;
        Http.listen(port, (exchange, body) -> handle(address, exchange, body));
        return address;
    }

    /** Writes as the operator or a worker; an empty value removes the key. */
    public synchronized void put(String topic, String key, String value) {
        topic(topic).add(new Rec(key, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, added -> new Topic());
    }

    private Http.Reply handle(String address, HttpExchange exchange, byte[] body) throws Exception {
        Map<String, String> query = Http.query(exchange);
        // The time of an answer: 4 ms.
        Thread.sleep(4);
        return switch (exchange.getRequestURI().getPath()) {
            case "/-/log-append" -> {
                Http.Reply reply = append(query, body);
                observer.appended(address, new String(body, StandardCharsets.ISO_8859_1), reply.status());
                yield reply;
            }
            case "/-/log-read" -> read(query);
            case "/-/log-newest" -> newest(query);
            default -> new Http.Reply(404, new byte[0]);
        };
    }

    private synchronized Http.Reply append(Map<String, String> query, byte[] body) {
        Topic topic = topic(query.get("topic"));
        String producer = query.get("producer");
        long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
        long sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
        if (producer != null) {
            Long known = topic.epochs.get(producer);
            if (known != null && epoch < known) {
                return Http.Reply.json(409, Json.map("reason", "fenced"));
            }
            if (known != null && epoch == known) {
                Long first = topic.offsets.get(producer).get(sequence);
                if (first != null) {
                    return Http.Reply.json(200, Json.map("offset", first, "end", (long) topic.records.size()));
                }
                if (sequence != topic.sequences.get(producer) + 1) {
                    return Http.Reply.json(
                            409, Json.map("reason", "seq", "expected", topic.sequences.get(producer) + 1));
                }
            }
        }
        long offset = topic.records.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
            return Http.Reply.json(412, Json.map("end", offset));
        }
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.hasRemaining()) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            int keyLength = Byte.toUnsignedInt(record[0]);
            String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = new byte[record.length - 1 - keyLength];
            System.arraycopy(record, 1 + keyLength, value, 0, value.length);
            topic.add(new Rec(key, value));
        }
        if (producer != null) {
            if (topic.epochs.getOrDefault(producer, -1L) != epoch) {
                topic.offsets.put(producer, new LinkedHashMap<>());
            }
            topic.epochs.put(producer, epoch);
            topic.sequences.put(producer, sequence);
            LinkedHashMap<Long, Long> last = topic.offsets.get(producer);
            last.put(sequence, offset);
            if (last.size() > LAST_APPENDS) {
                last.remove(last.keySet().iterator().next());
            }
        }
        notifyAll();
        return Http.Reply.json(200, Json.map("offset", offset, "end", (long) topic.records.size()));
    }

    private synchronized Http.Reply read(Map<String, String> query) throws InterruptedException {
        Topic topic = topic(query.get("topic"));
        int from = Integer.parseInt(query.get("from"));
        long untilMs = now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (topic.records.size() <= from && now() < untilMs) {
            wait(Math.max(1, untilMs - now()));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
        int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("maxKb", "1024"));
        for (int i = from; i < topic.records.size() && out.size() < maxBytes; i++) {
            Rec record = topic.records.get(i);
            byte[] key = record.key.getBytes(StandardCharsets.UTF_8);
            out.writeBytes(ByteBuffer.allocate(5)
                    .putInt(1 + key.length + record.value.length)
                    .put((byte) key.length)
                    .array());
            out.writeBytes(key);
            out.writeBytes(record.value);
        }
        return new Http.Reply(200, out.toByteArray());
    }

    private synchronized Http.Reply newest(Map<String, String> query) {
        Topic topic = topic(query.get("topic"));
        List<Object> items = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Integer> entry :
                topic.newest.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (items.size() == PAGE_ITEMS) {
                more = true;
                break;
            }
            byte[] value = topic.records.get(entry.getValue()).value;
            items.add(Json.map(
                    "key",
                    entry.getKey(),
                    "value",
                    Base64.getEncoder().encodeToString(value),
                    "offset",
                    entry.getValue()));
        }
        return Http.Reply.json(200, Json.map("items", items, "hasMore", more, "end", topic.records.size()));
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }
}
