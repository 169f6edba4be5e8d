package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in for a worker that does not guard its capacity. It can crash and start again under the same id and at the
 * same address; a new boot runs nothing and knows nothing of before. Thread-safe.
 */
public final class Worker {

    /** What a boot can run. */
    public record Kind(String label, long cpu, long memoryMb, long gpu) {}

    /** What a work item asks for and how long it works. */
    public record Item(String spec, long cpu, long memoryMb, long gpu, String requirement, long workMs) {}

    /** Looks up work items and is told of starts and ends. */
    public interface Observer {

        /** Returns the work item of a name, or null if no client sent it. */
        Item item(String task);

        void started(Worker worker, String task, int run, Item item, List<String> running);

        void ended(Worker worker, String task, int run, String how);

        default void observed(Worker worker, String task, int run, String how) {}
    }

    /** Decides what becomes of an order before the worker sees it. */
    public interface Delivery {

        /** Returns false if the order is taken over by the delivery, and its connection ends without an answer. */
        boolean deliver(Worker worker, String path, Map<String, Object> order);
    }

    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "worker-timer");
        thread.setDaemon(true);
        return thread;
    });

    /** Longer than the callers wait. */
    private static final long SILENCE_MS = 6000;

    public final String id;
    public final String rack;
    private final String service;
    private final long holdMaxMs;
    private final long heartbeatMs;
    private final Store store;
    private final Recorder recorder;
    private final Observer observer;
    private final int port;
    private Delivery delivery = (worker, path, order) -> true;
    private boolean endsConnections;
    private CheckIns checkIns;
    private ScheduledFuture<?> timer;
    private HttpServer server;

    /** The boot to which a connection was opened, by the caller's port. */
    private final Map<Integer, Boot> connections = new ConcurrentHashMap<>();

    private Boot boot;

    private static final class Run {
        int number;
        long startMs;
        Item item;
    }

    private record End(long sequence, String task, int run, String how) {}

    private static final class Boot {
        Kind kind;
        long born;
        long startNanos;
        long fence;
        long leaseEndMs;
        long lastEnd;
        long beats;
        boolean draining;
        final Map<String, Run> running = new LinkedHashMap<>();
        final Map<String, Integer> highest = new HashMap<>();
        final List<End> ends = new ArrayList<>();

        long clockMs() {
            return 1000 + (System.nanoTime() - startNanos) / 1_000_000;
        }
    }

    public Worker(
            String id,
            String service,
            String rack,
            long holdMaxMs,
            long heartbeatMs,
            Store store,
            Recorder recorder,
            Observer observer) {
        this.id = id;
        this.service = service;
        this.rack = rack;
        this.holdMaxMs = holdMaxMs;
        this.heartbeatMs = heartbeatMs;
        this.store = store;
        this.recorder = recorder;
        this.observer = observer;
        this.port = Http.freePort();
        this.checkIns = (worker, state, sequence, entry) -> store.put("keyed.servers", id, entry);
        TIMER.scheduleWithFixedDelay(this::advance, 5, 5, TimeUnit.MILLISECONDS);
    }

    public void deliverBy(Delivery newDelivery) {
        delivery = newDelivery;
    }

    /** Starts a boot: it listens, then registers itself, then checks in regularly. */
    public void start(Kind kind) throws IOException {
        Boot started = new Boot();
        synchronized (this) {
            started.kind = kind;
            started.born = System.currentTimeMillis();
            started.startNanos = System.nanoTime();
            boot = started;
            server = Http.listen(port, this::handle);
        }
        recorder.line("worker " + id + " starts, kind " + kind.label() + ", gpu " + kind.gpu());
        checkIn(started);
    }

    /** Writes check-ins to the store. */
    public interface CheckIns {

        void write(Worker worker, String state, long sequence, String entry);
    }

    public void checkInBy(CheckIns newCheckIns) {
        checkIns = newCheckIns;
    }

    /** Reports that the worker drains; it goes on serving until {@link #crash()}. */
    public void drain() {
        synchronized (this) {
            boot.draining = true;
        }
        checkIn(boot);
    }

    /** Loses power: the boot ends at once, and until the next one the machine does not respond. */
    public void losePower() {
        synchronized (this) {
            recorder.line("worker " + id + " loses power, running " + boot.running.keySet());
            boot.running.forEach((task, run) -> observer.ended(this, task, run.number, "crashed"));
            boot = null;
            notifyAll();
        }
    }

    /** Starts again after a loss of power. */
    public void powerUp(Kind kind) {
        Boot started = new Boot();
        started.kind = kind;
        started.born = System.currentTimeMillis();
        started.startNanos = System.nanoTime();
        synchronized (this) {
            boot = started;
        }
        recorder.line("worker " + id + " starts, kind " + kind.label() + ", gpu " + kind.gpu());
        checkIn(started);
    }

    /** Ends the boot and removes its entry, as the platform does once a worker has left. */
    public void leave() {
        crash();
        store.put("keyed.servers", id, "");
    }

    private void checkIn(Boot current) {
        String entry;
        long sequence;
        String state;
        synchronized (this) {
            if (boot != current) {
                return;
            }
            sequence = ++current.beats;
            state = current.draining ? "draining" : "ready";
            entry = Json.write(Json.map(
                    "service", service,
                    "address", "127.0.0.1:" + port,
                    "zone", "z1",
                    "version", "v1",
                    "slots", 8,
                    "state", current.draining ? "draining" : "ready",
                    "coldRemainingMs", 0,
                    "capacity",
                            Json.map(
                                    "cpu", current.kind.cpu(),
                                    "requestedMemoryMb", current.kind.memoryMb(),
                                    "gpu", current.kind.gpu()),
                    "labels", List.of(current.kind.label(), rack),
                    "clockMs", current.clockMs(),
                    "born", current.born,
                    "sequence", current.beats));
        }
        if (sequence == 1) {
            recorder.line("worker " + id + " registers, kind " + current.kind.label());
        }
        checkIns.write(this, state, sequence, entry);
        if (timer != null) {
            timer.cancel(false);
        }
        // The check-ins of the workers are spread over the interval.
        long delayMs = sequence == 1 ? ThreadLocalRandom.current().nextLong(heartbeatMs) : heartbeatMs;
        timer = TIMER.schedule(() -> checkIn(current), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Ends the boot at once; it sends nothing. */
    public void crash() {
        HttpServer stopped;
        synchronized (this) {
            recorder.line("worker " + id + " crashes, running " + boot.running.keySet());
            boot.running.forEach((task, run) -> observer.ended(this, task, run.number, "crashed"));
            boot = null;
            stopped = server;
            notifyAll();
        }
        stopped.stop(0);
    }

    public synchronized Kind kind() {
        return boot.kind;
    }

    public synchronized boolean runs(String task) {
        return boot != null && boot.running.containsKey(task);
    }

    /** Ends each connection with its answer, as a server of HTTP/1.1 may. */
    public void endConnections() {
        endsConnections = true;
    }

    private Http.Reply handle(HttpExchange exchange, byte[] body) throws InterruptedException {
        if (endsConnections) {
            exchange.getResponseHeaders().add("Connection", "close");
        }
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/health")) {
            return new Http.Reply(200, new byte[0]);
        }
        Map<String, Object> order = Json.object(new String(body, java.nio.charset.StandardCharsets.UTF_8));
        String expected = exchange.getRequestHeaders().getFirst("X-Fuchsiawinch-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            return new Http.Reply(421, new byte[0]);
        }
        Boot current;
        synchronized (this) {
            current = boot;
        }
        if (current == null) {
            // A machine without power does not respond.
            Thread.sleep(SILENCE_MS);
            return null;
        }
        Boot earlier = connections.putIfAbsent(exchange.getRemoteAddress().getPort(), current);
        if (earlier != null && earlier != current) {
            // A connection to an earlier boot is reset.
            recorder.line("worker " + id + " resets " + path + " of a connection to an earlier boot");
            return null;
        }
        if (!delivery.deliver(this, path, order)) {
            Thread.sleep(SILENCE_MS);
            return null;
        }
        Http.Reply reply = execute(path, order);
        synchronized (this) {
            if (boot == current) {
                return reply;
            }
        }
        Thread.sleep(SILENCE_MS);
        return null;
    }

    /** Carries out an order on the present boot; null if there is none. */
    public Http.Reply execute(String path, Map<String, Object> order) throws InterruptedException {
        return switch (path) {
            case "/-/run-start" -> startRun(order);
            case "/-/run-stop" -> stopRun(order);
            case "/-/hold" -> hold(order);
            default -> new Http.Reply(404, new byte[0]);
        };
    }

    private static long number(Map<String, Object> order, String field) {
        return order.get(field) instanceof Number value ? value.longValue() : 0;
    }

    private boolean fenced(Map<String, Object> order) {
        long token = number(order, "fencingToken");
        if (token < boot.fence) {
            return true;
        }
        boot.fence = token;
        return false;
    }

    private void extendLease(Map<String, Object> order) {
        long endMs = Math.min(number(order, "deadlineMs"), boot.clockMs() + holdMaxMs);
        boot.leaseEndMs = Math.max(boot.leaseEndMs, endMs);
    }

    private Http.Reply reply(int status, String reason) {
        Map<String, Object> body = Json.map("clockMs", boot.clockMs());
        if (reason != null) {
            body.put("reason", reason);
        }
        return Http.Reply.json(status, body);
    }

    private synchronized Http.Reply startRun(Map<String, Object> order) {
        if (boot == null) {
            return null;
        }
        advance();
        String task = (String) order.get("task");
        int run = (int) number(order, "run");
        Http.Reply reply = startRun(order, task, run);
        recorder.line("worker " + id + " start " + task + " run " + run + " token " + number(order, "fencingToken")
                + " -> " + reply.status() + " " + new String(reply.body()));
        return reply;
    }

    private Http.Reply startRun(Map<String, Object> order, String task, int run) {
        if (fenced(order)) {
            return reply(409, "fence");
        }
        Run present = boot.running.get(task);
        if (present != null && present.number == run) {
            extendLease(order);
            return reply(200, null);
        }
        if (boot.highest.getOrDefault(task, 0) >= run || present != null && present.number > run) {
            extendLease(order);
            return reply(409, "old");
        }
        if (number(order, "deadlineMs") <= boot.clockMs()) {
            return reply(409, "late");
        }
        extendLease(order);
        Item item = observer.item(task);
        if (item == null) {
            recorder.broken("UNASKED: " + id + " is told to start " + task + ", which no client sent");
            return reply(400, null);
        }
        Run started = new Run();
        started.number = run;
        started.startMs = boot.clockMs();
        started.item = item;
        boot.running.put(task, started);
        observer.started(this, task, run, item, List.copyOf(boot.running.keySet()));
        return reply(200, null);
    }

    private synchronized Http.Reply stopRun(Map<String, Object> order) {
        if (boot == null) {
            return null;
        }
        advance();
        String task = (String) order.get("task");
        int run = (int) number(order, "run");
        boolean fenced = fenced(order);
        recorder.line("worker " + id + " stop " + task + " run " + run + " token " + number(order, "fencingToken")
                + (fenced ? " -> fence" : ""));
        if (fenced) {
            return reply(409, "fence");
        }
        boot.highest.merge(task, run, Math::max);
        Run present = boot.running.get(task);
        if (present != null && present.number <= run) {
            end(task, "stopped");
        }
        return reply(200, null);
    }

    private synchronized Http.Reply hold(Map<String, Object> order) throws InterruptedException {
        Boot current = boot;
        if (current == null) {
            return null;
        }
        advance();
        if (fenced(order)) {
            return reply(409, "fence");
        }
        extendLease(order);
        long observed = number(order, "observed");
        current.ends.removeIf(end -> {
            if (end.sequence <= observed) {
                observer.observed(this, end.task, end.run, end.how);
            }
            return end.sequence <= observed;
        });
        long untilMs = current.clockMs() + Math.min(2000, number(order, "waitMs"));
        while (boot == current && current.ends.isEmpty() && current.clockMs() < untilMs) {
            wait(Math.max(1, untilMs - current.clockMs()));
        }
        if (boot != current) {
            return null;
        }
        if (number(order, "fencingToken") < current.fence) {
            return reply(409, "fence");
        }
        List<Object> running = new ArrayList<>();
        current.running.forEach((task, run) -> running.add(List.of(task, run.number, "", percent(run), 0)));
        List<Object> finished = new ArrayList<>();
        for (End end : current.ends.subList(0, Math.min(500, current.ends.size()))) {
            finished.add(List.of(end.sequence, end.task, end.run, end.how, ""));
        }
        return Http.Reply.json(
                200,
                Json.map(
                        "clockMs",
                        current.clockMs(),
                        "born",
                        current.born,
                        "running",
                        running,
                        "finished",
                        finished));
    }

    private long percent(Run run) {
        return Math.min(99, 100 * (boot.clockMs() - run.startMs) / Math.max(1, run.item.workMs()));
    }

    private synchronized void advance() {
        if (boot == null) {
            return;
        }
        boolean lapsed = boot.clockMs() > boot.leaseEndMs;
        for (String task : List.copyOf(boot.running.keySet())) {
            Run run = boot.running.get(task);
            if (lapsed) {
                end(task, "lapsed");
            } else if (boot.clockMs() - run.startMs >= run.item.workMs()) {
                end(task, "done");
            }
        }
    }

    private void end(String task, String how) {
        Run run = boot.running.remove(task);
        boot.highest.merge(task, run.number, Math::max);
        boot.ends.add(new End(++boot.lastEnd, task, run.number, how));
        recorder.line("worker " + id + " " + how + " " + task + " run " + run.number);
        observer.ended(this, task, run.number, how);
        notifyAll();
    }

    /** Returns what the running work items ask for in all. */
    public synchronized long[] inUse() {
        long[] sum = new long[3];
        Iterator<Run> runs = boot.running.values().iterator();
        while (runs.hasNext()) {
            Item item = runs.next().item;
            sum[0] += item.cpu();
            sum[1] += item.memoryMb();
            sum[2] += item.gpu();
        }
        return sum;
    }
}
