package standins3;

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


/** Stand-in of the platform's store: keyed topics with one partition. Linearizable; loses nothing. Thread-safe. */
public final class Store implements AutoCloseable {

    private static final int RECORD_BYTES = 262_144;
    private static final int REQUEST_BYTES = 2_097_152;
    private static final int REPEATABLE_APPENDS = 5;
    private static final int PAGE_ITEMS = 500;

    private final Http http;
    private final Map<String, Topic> topics = new HashMap<>();

    /** A record of a keyed topic. */
    private record Entry(String key, byte[] value) {}

    private static final class Producer {
        private long epoch = Long.MIN_VALUE;
        private long lastSequence;
        private final Map<Long, Http.Answer> answers = new LinkedHashMap<>();
    }

    private static final class Topic {
        private final List<Entry> entries = new ArrayList<>();
        private final TreeMap<String, Integer> newest = new TreeMap<>();
        private final Map<String, Producer> producers = new HashMap<>();
    }

    /** Starts the store on a free port. */
    public Store() throws IOException {
        http = new Http(0, this::handle);
    }

    /** Returns its host and port. */
    public String address() {
        return "127.0.0.1:" + http.port();
    }

    /** Appends a record on behalf of an operator or a worker; a null value drops the key. */
    public synchronized void put(String topic, String key, String value) {
        add(topic(topic), new Entry(key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, added -> new Topic());
    }

    private static void add(Topic topic, Entry entry) {
        if (entry.value().length == 0) {
            topic.newest.remove(entry.key());
        } else {
            topic.newest.put(entry.key(), topic.entries.size());
        }
        topic.entries.add(entry);
    }

    private Http.Answer handle(Http.Call call) throws InterruptedException {
        return switch (call.path()) {
            case "/-/log-append" -> append(call);
            case "/-/log-read" -> read(call);
            case "/-/log-newest" -> newest(call);
            default -> Http.Answer.of(404);
        };
    }

    private synchronized Http.Answer append(Http.Call call) {
        if (call.body().length > REQUEST_BYTES) {
            return Http.Answer.of(400, new ObjectNode().put("reason", "more than " + REQUEST_BYTES));
        }
        Topic topic = topic(call.parameter("topic", ""));
        String name = call.parameter("producer", "");
        Producer producer = null;
        long epoch = Long.parseLong(call.parameter("epoch", "0"));
        long sequence = Long.parseLong(call.parameter("sequence", "0"));
        if (!name.isEmpty()) {
            producer = topic.producers.computeIfAbsent(name, added -> new Producer());
            if (epoch < producer.epoch) {
                return conflict("fenced");
            }
            if (epoch == producer.epoch) {
                if (producer.answers.containsKey(sequence)) {
                    return producer.answers.get(sequence);
                }
                if (sequence != producer.lastSequence + 1) {
                    return conflict("seq");
                }
            }
        }
        int end = topic.entries.size();
        String at = call.parameter("at", "");
        if (!at.isEmpty() && Long.parseLong(at) != end) {
            return Http.Answer.of(412, new ObjectNode().put("end", end));
        }
        ByteBuffer in = ByteBuffer.wrap(call.body());
        while (in.hasRemaining()) {
            int length = in.getInt();
            if (length > RECORD_BYTES) {
                return Http.Answer.of(400, new ObjectNode().put("reason", "more than " + RECORD_BYTES));
            }
            in.position(in.position() + length);
        }
        in.rewind();
        while (in.hasRemaining()) {
            byte[] content = new byte[in.getInt()];
            in.get(content);
            int keyLength = Byte.toUnsignedInt(content[0]);
            byte[] value = new byte[content.length - 1 - keyLength];
            System.arraycopy(content, 1 + keyLength, value, 0, value.length);
            add(topic, new Entry(new String(content, 1, keyLength, StandardCharsets.UTF_8), value));
        }
        Http.Answer answer = Http.Answer.of(
                200, new ObjectNode().put("offset", end).put("end", topic.entries.size()));
        if (producer != null) {
            if (epoch > producer.epoch) {
                producer.answers.clear();
            }
            producer.epoch = epoch;
            producer.lastSequence = sequence;
            producer.answers.put(sequence, answer);
            producer.answers.keySet().removeIf(known -> known <= sequence - REPEATABLE_APPENDS);
        }
        notifyAll();
        return answer;
    }

    private static Http.Answer conflict(String reason) {
        return Http.Answer.of(409, new ObjectNode().put("reason", reason));
    }

    private synchronized Http.Answer read(Http.Call call) throws InterruptedException {
        Topic topic = topic(call.parameter("topic", ""));
        int from = Integer.parseInt(call.parameter("from", "0"));
        int maxBytes = 1024 * Integer.parseInt(call.parameter("maxKb", "1024"));
        long endNanos = System.nanoTime() + 1_000_000L * Long.parseLong(call.parameter("waitMs", "0"));
        while (topic.entries.size() <= from) {
            long restMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (restMs <= 0) {
                break;
            }
            wait(restMs);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(
                ByteBuffer.allocate(16).putLong(topic.entries.size()).putLong(0).array());
        for (int offset = from; offset < topic.entries.size() && out.size() < maxBytes; offset++) {
            byte[] key = topic.entries.get(offset).key().getBytes(StandardCharsets.UTF_8);
            byte[] value = topic.entries.get(offset).value();
            out.writeBytes(ByteBuffer.allocate(4)
                    .putInt(1 + key.length + value.length)
                    .array());
            out.write(key.length);
            out.writeBytes(key);
            out.writeBytes(value);
        }
        return new Http.Answer(200, out.toByteArray());
    }

    private synchronized Http.Answer newest(Http.Call call) {
        Topic topic = topic(call.parameter("topic", ""));
        String after = call.parameter("after", "");
        ObjectNode answer = new ObjectNode();
        ArrayNode items = answer.putArray("items");
        boolean more = false;
        for (Map.Entry<String, Integer> newest : topic.newest.entrySet()) {
            if (!after.isEmpty() && newest.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() == PAGE_ITEMS) {
                more = true;
                break;
            }
            byte[] value = topic.entries.get(newest.getValue()).value();
            items.addObject()
                    .put("key", newest.getKey())
                    .put("value", Base64.getEncoder().encodeToString(value))
                    .put("offset", newest.getValue());
        }
        return Http.Answer.of(200, answer.put("hasMore", more).put("end", topic.entries.size()));
    }

    @Override
    public void close() {
        http.close();
    }
}
