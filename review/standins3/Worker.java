package standins3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;


/**
 * Stand-in of a worker with one lease for all that runs, a fence and a list of ends. It can crash and start again under
 * its id, at its address; it then knows nothing of before. Thread-safe.
 */
public final class Worker implements AutoCloseable {

    private static final long CHECK_IN_MS = 1500;
    private static final long LONGEST_LEASE_MS = 10_000;
    private static final int MAX_ENDS = 500;
    private static final long CHECKPOINT_INTERVAL_MS = 1000;

    private final String id;
    private final String kind;
    private final String rack;
    private final String service;
    private final Store store;
    private final Record record;
    private final ToLongFunction<String> runMs;
    private int checkpointLength;
    private int port;
    private Http http;
    private Process process;

    /** A run at work. */
    private record Run(String task, int number, long startedMs, long lastsMs, String resumedFrom) {

        private static String key(String task, int number) {
            return task + " run " + number;
        }

        private String key() {
            return key(task, number);
        }
    }

    /** An end that has not been acknowledged. */
    private record End(long number, String task, int run, String how, String saved) {}

    /** State of one boot. */
    private static final class Process {
        private final long born;
        private final long startNanos = System.nanoTime();
        private final Map<String, Run> running = new LinkedHashMap<>();
        private final Map<String, Integer> highestEnded = new HashMap<>();
        private final List<End> ends = new ArrayList<>();
        private final Set<String> done = new HashSet<>();
        private long fence;
        private long leaseEndMs;
        private long lastEnd;
        private long sequence;

        private Process(long born) {
            this.born = born;
        }

        private long clockMs() {
            return (System.nanoTime() - startNanos) / 1_000_000;
        }
    }

    /**
     * Creates a worker that is not running.
     *
     * @param runMs returns how long a run of a task lasts, by the name of the task
     */
    public Worker(
            String id,
            String kind,
            String rack,
            String service,
            Store store,
            Record record,
            ToLongFunction<String> runMs) {
        this.id = id;
        this.kind = kind;
        this.rack = rack;
        this.service = service;
        this.store = store;
        this.record = record;
        this.runMs = runMs;
    }

    /** Lets all runs save checkpoints of a number of characters. */
    public void saveCheckpoints(int length) {
        checkpointLength = length;
    }

    /** Returns the worker's id. */
    public String id() {
        return id;
    }

    /** Starts the worker. The time of day on its machine is ahead of the true one by a number of ms. */
    public synchronized void start(long clockAheadMs) throws IOException {
        Process started = new Process(System.currentTimeMillis() + clockAheadMs);
        process = started;
        http = new Http(port, call -> handle(started, call));
        port = http.port();
        record.line("worker %s starts, born %d, time of day ahead by %d ms", id, started.born, clockAheadMs);
        Thread timer = new Thread(() -> live(started), "worker-" + id);
        timer.setDaemon(true);
        timer.start();
    }

    /** Kills the worker: all that runs is gone, and so is all that it knew. */
    public synchronized void crash() {
        if (process == null) {
            return;
        }
        process.running.keySet().forEach(run -> record.line("worker %s dies with %s", id, run));
        record.line("worker %s is killed", id);
        process = null;
        notifyAll();
        http.close();
    }

    /** Returns the tasks at work. */
    public synchronized List<String> running() {
        return process == null
                ? List.of()
                : process.running.values().stream().map(Run::task).toList();
    }

    /** Returns whether a run of a task has ended {@code done} on the present process. */
    public synchronized boolean hasDone(String task) {
        return process != null && process.done.contains(task);
    }

    @Override
    public void close() {
        crash();
    }

    private void live(Process own) {
        long nextCheckInMs = 0;
        try {
            while (true) {
                synchronized (this) {
                    if (process != own) {
                        return;
                    }
                    advance(own);
                    if (own.clockMs() >= nextCheckInMs) {
                        nextCheckInMs += CHECK_IN_MS;
                        checkIn(own);
                    }
                }
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkIn(Process own) {
        ObjectNode entry = new ObjectNode();
        entry.put("service", service).put("address", "127.0.0.1:" + port).put("zone", "suva-a");
        entry.put("version", "v1").put("slots", 8).put("state", "ready").put("coldRemainingMs", 0);
        entry.putObject("capacity").put("cpu", 32_000).put("requestedMemoryMb", 131_072).put("gpu", 8);
        entry.putArray("labels").add(kind).add(rack);
        entry.put("clockMs", own.clockMs()).put("sequence", ++own.sequence).put("born", own.born);
        store.put("keyed.servers", id, entry.toString());
    }

    private void advance(Process own) {
        long nowMs = own.clockMs();
        for (Run run : List.copyOf(own.running.values())) {
            if (nowMs > own.leaseEndMs) {
                end(own, run, "lapsed");
            } else if (nowMs - run.startedMs() >= run.lastsMs()) {
                end(own, run, "done");
            }
        }
    }

    private void end(Process own, Run run, String how) {
        own.running.remove(run.key());
        String saved = how.equals("done") ? "" : saved(own, run);
        own.highestEnded.merge(run.task(), run.number(), Math::max);
        if (how.equals("done")) {
            own.done.add(run.task());
        }
        own.ends.add(new End(++own.lastEnd, run.task(), run.number(), how, saved));
        record.line("worker %s: %s ends: %s", id, run.key(), how);
        notifyAll();
    }

    /** Returns the newest checkpoint of a run, which names the run and its progress and is of the set length. */
    private String saved(Process own, Run run) {
        long intervals = (own.clockMs() - run.startedMs()) / CHECKPOINT_INTERVAL_MS;
        if (checkpointLength == 0 || intervals == 0) {
            return run.resumedFrom();
        }
        String text = String.format("%08x%s-%d/", intervals, run.task(), run.number());
        return text.repeat(1 + checkpointLength / text.length()).substring(0, checkpointLength);
    }

    private synchronized Http.Answer handle(Process own, Http.Call call) throws InterruptedException {
        if (process != own) {
            return null;
        }
        if (!call.instance().isEmpty() && !call.instance().equals(id)) {
            return Http.Answer.of(421);
        }
        advance(own);
        JsonNode order = call.json();
        return switch (call.path()) {
            case "/health" -> Http.Answer.of(200);
            case "/-/run-start" -> start(own, order);
            case "/-/run-stop" -> stop(own, order);
            case "/-/hold" -> hold(own, order);
            default -> Http.Answer.of(404);
        };
    }

    private ObjectNode answer(Process own) {
        return new ObjectNode().put("clockMs", own.clockMs()).put("born", own.born);
    }

    private Http.Answer refusal(Process own, String reason) {
        return Http.Answer.of(409, answer(own).put("reason", reason));
    }

    /** Returns whether an order is below the fence; raises the fence otherwise. */
    private static boolean fenced(Process own, JsonNode order) {
        long token = order.path("fencingToken").asLong();
        if (token < own.fence) {
            return true;
        }
        own.fence = token;
        return false;
    }

    private static void extendLease(Process own, JsonNode order) {
        if (order.has("deadlineMs")) {
            long endMs = Math.min(order.path("deadlineMs").asLong(), own.clockMs() + LONGEST_LEASE_MS);
            own.leaseEndMs = Math.max(own.leaseEndMs, endMs);
        }
    }

    private Http.Answer start(Process own, JsonNode order) {
        String task = order.path("task").asText();
        int number = order.path("run").asInt();
        if (fenced(own, order)) {
            return refusal(own, "fence");
        }
        boolean late = order.path("deadlineMs").asLong() <= own.clockMs();
        if (!late) {
            extendLease(own, order);
        }
        if (own.running.containsKey(Run.key(task, number))) {
            return Http.Answer.of(200, answer(own));
        }
        if (own.highestEnded.getOrDefault(task, 0) >= number) {
            return refusal(own, "old");
        }
        if (late) {
            return refusal(own, "late");
        }
        String checkpoint = order.path("checkpoint").asText();
        own.running.put(
                Run.key(task, number),
                new Run(task, number, own.clockMs(), runMs.applyAsLong(task), checkpoint));
        record.line(
                "worker %s starts %s run %d, token %d, spec %s",
                id, task, number, own.fence, order.path("spec").asText());
        return Http.Answer.of(200, answer(own));
    }

    private Http.Answer stop(Process own, JsonNode order) {
        String task = order.path("task").asText();
        int number = order.path("run").asInt();
        if (fenced(own, order)) {
            return refusal(own, "fence");
        }
        own.highestEnded.merge(task, number, Math::max);
        Run known = own.running.get(Run.key(task, number));
        record.line("worker %s is told to stop %s run %d", id, task, number);
        if (known != null) {
            end(own, known, "stopped");
        }
        return Http.Answer.of(200, answer(own));
    }

    private Http.Answer hold(Process own, JsonNode order) throws InterruptedException {
        if (fenced(own, order)) {
            return refusal(own, "fence");
        }
        extendLease(own, order);
        long observed = order.path("observed").asLong();
        own.ends.removeIf(end -> end.number() <= observed);
        long endMs = own.clockMs() + Math.min(2000, order.path("waitMs").asLong());
        long token = own.fence;
        while (process == own && own.ends.isEmpty() && own.fence == token && own.clockMs() < endMs) {
            wait(Math.max(1, endMs - own.clockMs()));
        }
        if (process != own) {
            return null;
        }
        if (own.fence != token) {
            return refusal(own, "fence");
        }
        ObjectNode answer = answer(own);
        ArrayNode running = answer.putArray("running");
        long nowMs = own.clockMs();
        own.running.values().forEach(run -> running.addArray()
                .add(run.task())
                .add(run.number())
                .add(saved(own, run))
                .add(Math.min(100, 100 * (nowMs - run.startedMs()) / Math.max(1, run.lastsMs())))
                .add(1000));
        ArrayNode finished = answer.putArray("finished");
        own.ends.stream().limit(MAX_ENDS).forEach(end -> finished.addArray()
                .add(end.number())
                .add(end.task())
                .add(end.run())
                .add(end.how())
                .add(end.saved()));
        return Http.Answer.of(200, answer);
    }
}
