package lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A worker: runs work items under leases, fences orders, lists ends until they are observed. It starts whatever it is
 * told to start. The run time of a work item is the number at the end of its spec, in ms.
 */
public final class Worker implements AutoCloseable {

    private static final long HOLD_MAX_MS = 10_000;
    private static final long STEP_MS = 10;

    /** Interval of the check-ins in ms, and the silence after which the platform removes the entry. */
    private static final long BEAT_MS = 1500;
    private static final long REMOVED_AFTER_MS = 3 * BEAT_MS;

    /** Decides whether a start order is not answered and carried out later: the delay in ms, or a negative number. */
    public interface Orders {
        long lateMs(String task, long run);
    }

    /** Hears of the starts and ends of runs. */
    public interface Listener {
        void started(Worker worker, String task, long run, String spec, long atMs);

        void ended(Worker worker, String task, long run, String how, long atMs);

        /** Called when an end was observed, so that the worker forgets it. */
        default void observed(Worker worker, String task, long run, String how, long atMs) {}
    }

    private static final class Run {
        long number;
        String spec;
        long startMs;
        long workMs;
    }

    private record End(long sequence, String task, long run, String how) {}

    private final String id;
    private final String service;
    private final String rack;
    private final Store store;
    private final Recorder recorder;
    private final Listener listener;
    private final ExecutorService threads = Executors.newCachedThreadPool(Lab::daemon);
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Lab::daemon);
    private HttpServer server;
    private int port;
    private Proxy proxy;

    private Map<String, Run> running = new LinkedHashMap<>();
    private Map<String, Long> barred = new HashMap<>();
    private List<End> ends = new ArrayList<>();
    private long bornMs;
    private long bornNanos;
    private long fence;
    private long leaseEndMs;
    private long lastSequence;
    private long beats;
    private boolean up;
    private volatile boolean silent;
    private volatile Orders orders = (task, run) -> -1;
    private volatile boolean ordersOutliveCrashes = true;
    private volatile String kind = "a";
    private volatile long lastBeatMs;
    private volatile boolean listed;

    public Worker(String id, String service, String rack, Store store, Recorder recorder, Listener listener)
            throws IOException {
        this.id = id;
        this.service = service;
        this.rack = rack;
        this.store = store;
        this.recorder = recorder;
        this.listener = listener;
        boot();
        timer.scheduleAtFixedRate(this::step, STEP_MS, STEP_MS, TimeUnit.MILLISECONDS);
        timer.scheduleAtFixedRate(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
        timer.scheduleAtFixedRate(this::removeSilentEntry, 100, 100, TimeUnit.MILLISECONDS);
    }

    public String id() {
        return id;
    }

    /** Sets the kind, the worker's first label. */
    public void kind(String name) {
        kind = name;
        beat();
    }

    /** Returns the number of runs in progress. */
    public synchronized int runs() {
        return running.size();
    }

    /** Returns the proxy through which the nodes reach the worker; it stands in the worker's entry from now on. */
    public synchronized Proxy proxy() throws IOException {
        if (proxy == null) {
            proxy = new Proxy(port, recorder);
            beat();
        }
        return proxy;
    }

    public void orders(Orders decision) {
        orders = decision;
    }

    /** Sets whether an order that is carried out late can reach the next life of the worker under the same id. */
    public void ordersOutliveCrashes(boolean on) {
        ordersOutliveCrashes = on;
    }

    /** Stops or resumes to answer; a silent worker goes on with what runs and hears nothing. */
    public void silent(boolean on) {
        silent = on;
        recorder.line(id, on ? "is silent" : "answers again");
        beat();
    }

    private synchronized void boot() throws IOException {
        running = new LinkedHashMap<>();
        barred = new HashMap<>();
        ends = new ArrayList<>();
        fence = 0;
        leaseEndMs = 0;
        lastSequence = 0;
        bornMs = System.currentTimeMillis();
        bornNanos = System.nanoTime();
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 200);
        port = server.getAddress().getPort();
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        up = true;
        recorder.line(id, "boots, born", bornMs);
        beat();
    }

    /** Crashes: all that runs is gone, and the connections are closed. */
    public void crash() {
        HttpServer stopped;
        synchronized (this) {
            up = false;
            running.forEach((task, run) -> listener.ended(this, task, run.number, "crashed", recorder.nowMs()));
            running = new LinkedHashMap<>();
            notifyAll();
            stopped = server;
        }
        recorder.line(id, "crashes");
        stopped.stop(0);
    }

    /** Starts again under the same id and address, knowing nothing of before. */
    public void restart() throws IOException {
        boot();
    }

    /** Removes the worker's entry as the platform does, after three check-in intervals of silence. */
    private void removeSilentEntry() {
        if (listed && recorder.nowMs() - lastBeatMs > REMOVED_AFTER_MS) {
            listed = false;
            store.put("keyed.servers", id, "");
            recorder.line("store", "removes the entry of", id);
        }
    }

    private void beat() {
        if (!up || silent) {
            return;
        }
        lastBeatMs = recorder.nowMs();
        listed = true;
        store.put(
                "keyed.servers",
                id,
                Json.write(Json.map(
                        "service", service,
                        "address", "127.0.0.1:" + (proxy == null ? port : proxy.port()),
                        "zone", "z1",
                        "version", "v1",
                        "slots", 8,
                        "state", "ready",
                        "coldRemainingMs", 0,
                        "capacity", Json.map("cpu", 32000, "requestedMemoryMb", 131072, "gpu", 8),
                        "labels", List.of(kind, rack),
                        "clockMs", clockMs(),
                        "born", bornMs,
                        "sequence", ++beats)));
    }

    private long clockMs() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private synchronized void step() {
        if (!up) {
            return;
        }
        long now = clockMs();
        for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
            if (now > leaseEndMs) {
                end(entry.getKey(), entry.getValue(), "lapsed");
            } else if (now - entry.getValue().startMs >= entry.getValue().workMs) {
                end(entry.getKey(), entry.getValue(), "done");
            }
        }
    }

    private void end(String task, Run run, String how) {
        running.remove(task);
        barred.merge(task, run.number, Math::max);
        ends.add(new End(++lastSequence, task, run.number, how));
        recorder.line(id, "run ends", task, "run", run.number, how);
        listener.ended(this, task, run.number, how, recorder.nowMs());
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        if (silent) {
            return;
        }
        String expected = exchange.getRequestHeaders().getFirst("X-Fuchsiawinch-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            Lab.send(exchange, 421, "{}");
            return;
        }
        Map<String, Object> order = Json.object(new String(bytes, StandardCharsets.UTF_8));
        String path = exchange.getRequestURI().getPath();
        try {
            switch (path) {
                case "/-/run-start" -> start(exchange, order);
                case "/-/run-stop" -> Lab.send(exchange, stop(order));
                case "/-/hold" -> hold(exchange, order);
                case "/health" -> Lab.send(exchange, 200, "{}");
                default -> Lab.send(exchange, 404, "{}");
            }
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private static long number(Map<String, Object> order, String field) {
        return order.containsKey(field) ? ((Number) order.get(field)).longValue() : 0;
    }

    private void start(HttpExchange exchange, Map<String, Object> order) throws IOException {
        String task = (String) order.get("task");
        long run = number(order, "run");
        long lateMs = orders.lateMs(task, run);
        if (lateMs < 0) {
            Lab.send(exchange, start(order));
            return;
        }
        recorder.line(id, "start of", task, "run", run, "not answered, carried out in", lateMs, "ms");
        long life = bornMs;
        timer.schedule(
                () -> {
                    if (!ordersOutliveCrashes && life != bornMs) {
                        return;
                    }
                    Lab.Reply reply = start(order);
                    recorder.line(id, "late start of", task, "run", run, "->", reply.status(), reply.body());
                },
                lateMs,
                TimeUnit.MILLISECONDS);
    }

    private synchronized Lab.Reply start(Map<String, Object> order) {
        if (!up) {
            return new Lab.Reply(0, "down");
        }
        String task = (String) order.get("task");
        long run = number(order, "run");
        String refused = refusal(order, task, run);
        if (!refused.isEmpty()) {
            recorder.line(id, "refuses start of", task, "run", run, refused);
            return new Lab.Reply(409, Json.write(Json.map("clockMs", clockMs(), "reason", refused)));
        }
        if (!running.containsKey(task)) {
            Run started = new Run();
            started.number = run;
            started.spec = (String) order.get("spec");
            started.startMs = clockMs();
            started.workMs = Long.parseLong(started.spec.substring(started.spec.lastIndexOf('=') + 1));
            running.put(task, started);
            recorder.line(id, "run starts", task, "run", run, "epoch", number(order, "fencingToken"));
            listener.started(this, task, run, started.spec, recorder.nowMs());
        }
        return new Lab.Reply(200, Json.write(Json.map("clockMs", clockMs())));
    }

    private String refusal(Map<String, Object> order, String task, long run) {
        long epoch = number(order, "fencingToken");
        if (epoch < fence) {
            return "fence";
        }
        fence = epoch;
        if (barred.getOrDefault(task, 0L) >= run) {
            extend(number(order, "deadlineMs"));
            return "old";
        }
        Run other = running.get(task);
        if (other != null && other.number != run) {
            return other.number > run ? "old" : "room";
        }
        if (number(order, "deadlineMs") <= clockMs()) {
            return "late";
        }
        extend(number(order, "deadlineMs"));
        return "";
    }

    private void extend(long deadlineMs) {
        leaseEndMs = Math.max(leaseEndMs, Math.min(deadlineMs, clockMs() + HOLD_MAX_MS));
    }

    private synchronized Lab.Reply stop(Map<String, Object> order) {
        String task = (String) order.get("task");
        long run = number(order, "run");
        if (number(order, "fencingToken") < fence) {
            return new Lab.Reply(409, Json.write(Json.map("clockMs", clockMs(), "reason", "fence")));
        }
        fence = number(order, "fencingToken");
        barred.merge(task, run, Math::max);
        Run current = running.get(task);
        if (current != null && current.number <= run) {
            end(task, current, "stopped");
        }
        recorder.line(id, "stop of", task, "run", run);
        return new Lab.Reply(200, Json.write(Json.map("clockMs", clockMs())));
    }

    private void hold(HttpExchange exchange, Map<String, Object> order) throws IOException, InterruptedException {
        Lab.Reply reply;
        synchronized (this) {
            if (number(order, "fencingToken") < fence) {
                reply = new Lab.Reply(409, Json.write(Json.map("clockMs", clockMs(), "born", bornMs, "reason", "fence")));
            } else {
                fence = number(order, "fencingToken");
                long observed = number(order, "observed");
                ends.removeIf(end -> {
                    if (end.sequence() <= observed) {
                        recorder.line(id, "end observed", end.task(), "run", end.run(), end.how());
                        listener.observed(this, end.task(), end.run(), end.how(), recorder.nowMs());
                    }
                    return end.sequence() <= observed;
                });
                if (order.containsKey("deadlineMs")) {
                    extend(number(order, "deadlineMs"));
                }
                long untilMs = clockMs() + Math.min(2000, number(order, "waitMs"));
                long life = bornMs;
                while (up && ends.isEmpty() && clockMs() < untilMs && life == bornMs) {
                    wait(Math.max(1, untilMs - clockMs()));
                }
                if (!up || life != bornMs || silent) {
                    return;
                }
                List<Object> runs = new ArrayList<>();
                running.forEach((task, run) -> runs.add(List.of(
                        task, run.number, "", Math.min(100, 100 * (clockMs() - run.startMs) / Math.max(1, run.workMs)))));
                List<Object> finished = new ArrayList<>();
                ends.forEach(end -> finished.add(List.of(end.sequence(), end.task(), end.run(), end.how(), "")));
                reply = new Lab.Reply(
                        200,
                        Json.write(Json.map(
                                "clockMs", clockMs(), "born", bornMs, "running", runs, "finished", finished)));
            }
        }
        Lab.send(exchange, reply);
    }

    @Override
    public void close() {
        up = false;
        server.stop(0);
        threads.shutdownNow();
        timer.shutdownNow();
    }
}
