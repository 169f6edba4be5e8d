package lab;

import com.sun.net.httpserver.HttpExchange;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: the store, workers, and nodes as the deploy file starts them. */
public final class Lab implements AutoCloseable {

    /** Longest time in ms that a case may take. */
    private static final long MAX_MS = 117_000;

    public static final String HOST = "desk.example";
    public static final String PREFIX = "/plans/";
    public static final String SERVICE = "desk";

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    /** Status and body of an answer; status 0 if there was none. */
    public record Reply(int status, String body) {}

    /** A node: its process and the ports of its interfaces. */
    public static final class Node {
        public final String name;
        public final int frontend;
        public final int readiness;
        private final Path settings;
        private final Path log;
        private Process process;

        private Node(String name, int frontend, int readiness, Path settings, Path log) {
            this.name = name;
            this.frontend = frontend;
            this.readiness = readiness;
            this.settings = settings;
            this.log = log;
        }

        public long pid() {
            return process.pid();
        }
    }

    public final Recorder recorder;
    public final Store store;
    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    public final List<Worker> workers = new ArrayList<>();
    public final List<Node> nodes = new ArrayList<>();
    private final Path scratch;
    private final Path root = Path.of("").toAbsolutePath();
    private final List<String> command;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    /** Body of a case. */
    public interface Case {
        void run(Lab lab) throws Exception;
    }

    /** Runs a case, which ends the process; any failure of the case itself ends it with status 2. */
    public static void run(String[] arguments, Case body) {
        Thread watchdog = daemon(() -> {
            sleep(MAX_MS);
            System.out.println("the case could not run: it took too long");
            System.exit(2);
        });
        watchdog.start();
        try {
            body.run(new Lab(Path.of(arguments[0])));
        } catch (Throwable e) {
            System.out.println("the case could not run: " + e);
            e.printStackTrace();
            System.exit(2);
        }
    }

    /** Creates the store and a temporary folder; the present folder is the root of the repository. */
    public Lab(Path record) throws IOException {
        recorder = new Recorder(record);
        store = new Store(recorder);
        scratch = Files.createTempDirectory("review");
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        command = List.of(run.group(1).split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
        recorder.line("case", trouble ? "with the disruption" : "without the disruption");
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static Map<String, String> query(URI uri) {
        Map<String, String> query = new HashMap<>();
        if (uri.getRawQuery() != null) {
            for (String pair : uri.getRawQuery().split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    static void send(HttpExchange exchange, int status, String body) throws IOException {
        send(exchange, status, body.getBytes(StandardCharsets.UTF_8));
    }

    static void send(HttpExchange exchange, Reply reply) throws IOException {
        send(exchange, reply.status(), reply.body());
    }

    static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Writes a config with one queue and the keys of one tenant, and returns when it is acknowledged. */
    public void config(long version, List<String> keys) {
        config(version, List.of(PREFIX), keys);
    }

    public void config(long version, List<String> prefixes, List<String> keys) {
        List<Object> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add(Json.map(
                    "name", "r-" + prefix.replace("/", ""),
                    "host", HOST,
                    "pathPrefix", prefix,
                    "kind", "non_idempotent",
                    "timeoutMs", 3000,
                    "targetCompletionMs", 1000,
                    "priority", 1,
                    "service", SERVICE,
                    "maxAttempts", 3,
                    "slackFactor", 3.0,
                    "public", false));
        }
        store.put(
                "keyed.op",
                "config",
                Json.write(Json.map(
                        "version", version,
                        "routes", routes,
                        "services",
                                List.of(Json.map(
                                        "name", SERVICE,
                                        "healthPath", "/health",
                                        "maxConnections", 64,
                                        "protocol", "h1",
                                        "tls", false,
                                        "admissionCheck", false,
                                        "standby", false)),
                        "limits",
                                Json.map(
                                        "maxHeaderBytes", 16384,
                                        "maxBodyBytes", 262144,
                                        "headerTimeoutMs", 3000,
                                        "idleTimeoutMs", 15000),
                        "tenants",
                                List.of(Json.map(
                                        "name", "tenant-a",
                                        "apiKeys", keys,
                                        "priority", 1,
                                        "guaranteed", Json.map("gpu", 4))))));
        recorder.line("operator", "config version", version, "acknowledged; keys", keys);
    }

    public Worker worker(String id, String rack, Worker.Listener listener) throws IOException {
        Worker worker = new Worker(id, SERVICE, rack, store, recorder, listener);
        workers.add(worker);
        return worker;
    }

    /** Starts a node that reaches the store at a port. */
    public Node node(String name, int storePort) throws IOException {
        int frontend = freePort();
        int readiness = freePort();
        int metrics = freePort();
        Path settings = scratch.resolve(name + ".json");
        Files.writeString(
                settings,
                Json.write(Json.map(
                        "nodeName", name,
                        "role", "node",
                        "machineClass", "frontend",
                        "serves", List.of("frontend"),
                        "ip", "127.0.0.1",
                        "zone", "z1",
                        "region", "r1",
                        "zones", Json.map("z1", "r1"),
                        "listen",
                                Json.map(
                                        "frontend", "127.0.0.1:" + frontend,
                                        "readiness", "127.0.0.1:" + readiness),
                        "internalPortRange", List.of(metrics, metrics),
                        "seeds", List.of(),
                        "bootstrap", true,
                        "faultCounted", false,
                        "limits",
                                Json.map(
                                        "cpuShare", 0.75, "cores", 1, "memoryMb", 430, "fileDescriptors", 4100,
                                        "linkMbps", 1000.0, "diskMb", 0),
                        "discovery", "platform",
                        "entry", "virtual_ip",
                        "heartbeatIntervalMs", 1500,
                        "bounds",
                                Json.map(
                                        "seedLagS", 3, "reuseAfterS", 2, "stabilityWindowMs", 3000,
                                        "ackTimeoutMs", 4000, "catchUpS", 4, "drainTimeoutMs", 2000,
                                        "gracePeriodS", 6, "lossSlackMs", 200, "configApplyMs", 2000,
                                        "rollbackSlackMs", 250, "outerBoundMs", 5000, "revokeWhenPartitioned", false,
                                        "revokeMs", 5000, "recoveryS", 12, "holdMaxMs", 10000, "stopTimeoutMs", 400,
                                        "gangTimeoutMs", 3000, "cancel_ms", 3000, "visible_ms", 3000, "early_ms", 250,
                                        "finish_s", 14, "status_s", 120, "remoteFactor", 3, "checkpointIntervalS", 1,
                                        "restoreMs", 250, "fencingEnforced", true, "leaseMs", 3000),
                        "orders", "invocation",
                        "platform",
                                Json.map(
                                        "address", "127.0.0.1:" + storePort,
                                        "form", "log", "writesPerS", 800, "readsPerS", 2000, "parts", 16,
                                        "appendMs", 3.0, "recordBytes", 262144, "requestBytes", 2097152,
                                        "keep_s", 300, "partitionMb", 200, "ttlMinMs", 1000))));
        Node node = new Node(name, frontend, readiness, settings, scratch.resolve(name + ".log"));
        nodes.add(node);
        start(node);
        return node;
    }

    public void start(Node node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()));
        Map<String, String> environment = builder.environment();
        Map<String, String> kept = new HashMap<>(environment);
        environment.clear();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (kept.containsKey(name)) {
                environment.put(name, kept.get(name));
            }
        }
        environment.put("FUCHSIAWINCH_NODE_FILE", node.settings.toString());
        node.process = builder.start();
        recorder.line(node.name, "process", node.pid(), "starts");
    }

    /** Returns whether a node's process runs. */
    public boolean alive(Node node) {
        return node.process.isAlive();
    }

    /** Sends a signal to a node by its process id. */
    public void signal(Node node, String signal) throws IOException, InterruptedException {
        recorder.line(node.name, "gets signal", signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(node.pid())).start().waitFor();
    }

    public boolean ready(Node node) {
        return call(node.readiness, "GET", "/-/readiness", "", "", 1000).status() == 200;
    }

    public void awaitReady() {
        nodes.forEach(node -> await(() -> ready(node), 30_000, "node " + node.name + " is not ready"));
    }

    /** Waits for a condition; ends the case with status 2 if it does not come about. */
    public void await(BooleanSupplier condition, long timeoutMs, String problem) {
        long endMs = recorder.nowMs() + timeoutMs;
        while (!condition.getAsBoolean()) {
            if (recorder.nowMs() > endMs) {
                recorder.say("the case could not run: " + problem);
                dumpLogs();
                killNodes();
                System.exit(2);
            }
            sleep(20);
        }
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a consumer's call on a connection of its own and records it with its answer. */
    public Reply consumer(Node node, String method, String path, String key, String body) {
        recorder.line("consumer", method, path, "to", node.name, "key", key);
        Reply reply = call(node.frontend, method, path, key, body, 3000);
        recorder.line(
                "consumer",
                method,
                path,
                "from",
                node.name,
                "answer",
                reply.status() == 0 ? "none" : reply.status(),
                reply.body());
        return reply;
    }

    public Reply call(int port, String method, String path, String key, String body, long waitMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofMillis(waitMs))
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .header("Host", HOST)
                .header("X-Fuchsiawinch-Deadline-Ms", Long.toString(waitMs));
        if (!key.isEmpty()) {
            request.header("Authorization", "Token " + key);
        }
        if (!body.isEmpty()) {
            request.header("Content-Type", "application/json");
        }
        try {
            HttpResponse<String> answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Reply(answer.statusCode(), answer.body());
        } catch (IOException e) {
            return new Reply(0, e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the body of a job of one step whose work items take a time in ms. */
    public static String job(int count, int gpu, long workMs) {
        return Json.write(Json.map(
                "spec", "text ms=" + workMs,
                "steps",
                        List.of(Json.map(
                                "count", count, "cpu", 2000, "requestedMemoryMb", 1024, "gpu", gpu, "estimatedMs",
                                workMs))));
    }

    /** Copies the logs of the nodes into the record. */
    public void dumpLogs() {
        for (Node node : nodes) {
            try {
                Files.readAllLines(node.log).forEach(line -> recorder.line("log", node.name, line));
            } catch (IOException e) {
                recorder.line("log", node.name, e);
            }
        }
    }

    private void killNodes() {
        nodes.forEach(node -> {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        });
    }

    /** Ends the case with the status that the verdict asks for. */
    public void finish(boolean broken, String verdict) {
        recorder.say((broken ? "BROKEN: " : "HELD: ") + verdict);
        if (System.getenv("LOGS") != null) {
            dumpLogs();
        }
        close();
        System.exit(broken ? 1 : 0);
    }

    @Override
    public void close() {
        killNodes();
        nodes.forEach(node -> {
            try {
                node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        workers.forEach(Worker::close);
        store.close();
        File[] files = scratch.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        scratch.toFile().delete();
    }
}
