package standins3;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;


/** A small deployment on loopback addresses: a store, nodes as the deploy file starts them, and callers. */
public final class Deployment implements AutoCloseable {

    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final int BLOCK_PORTS = 20;
    private static final int GRACE_PERIOD_S = 6;
    private static final String[] ZONES = {"suva-a", "suva-b", "lautoka", "nadi"};

    private int nextPort =
            FIRST_PORT + (int) (ProcessHandle.current().pid() * BLOCK_PORTS % (LAST_PORT - FIRST_PORT - BLOCK_PORTS));
    private final Record record;
    private final Path folder;
    private final Store store;
    private final List<Node> nodes = new ArrayList<>();

    /** An answer as a caller sees it; status 0 if there was none. */
    public record Reply(int status, String body) {

        /** Returns a field of the body; an empty text if there is none. */
        public String field(String name) {
            return JsonNode.parse(body).path(name).asText();
        }
    }

    /** A process of the system. */
    public static final class Node {
        private final String name;
        private final Path settings;
        private final int callers;
        private final int readiness;
        private Process process;

        private Node(String name, Path settings, int callers, int readiness) {
            this.name = name;
            this.settings = settings;
            this.callers = callers;
            this.readiness = readiness;
        }

        /** Returns the node's name. */
        public String name() {
            return name;
        }
    }

    /** Starts the store. The folder holds the settings and the output of the nodes. */
    public Deployment(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review3");
        this.store = new Store();
    }

    /** Returns the store. */
    public Store store() {
        return store;
    }

    /** Returns the nodes. */
    public List<Node> nodes() {
        return nodes;
    }

    /** Starts a number of nodes. */
    public void startNodes(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            String zone = ZONES[i % ZONES.length];
            String name = "frontend-" + zone + "-" + (1 + i / ZONES.length);
            int callers = freePort();
            int readiness = freePort();
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings(name, zone, callers, readiness, freePort()));
            Node node = new Node(name, settings, callers, readiness);
            nodes.add(node);
            start(node);
        }
    }

    private void start(Node node) throws IOException {
        String deployFile = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deployFile);
        if (!run.find()) {
            throw new IOException("no run in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("FUCHSIAWINCH_NODE_FILE", node.settings.toString());
        File output = folder.resolve(node.name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
        node.process = builder.start();
        record.line("node %s starts, process %d", node.name, node.process.pid());
    }

    /** Stops a node by SIGTERM, and by SIGKILL after the grace period, and starts it again. */
    public void restart(Node node) throws IOException, InterruptedException {
        record.line("node %s gets SIGTERM", node.name);
        node.process.destroy();
        if (!node.process.waitFor(GRACE_PERIOD_S, TimeUnit.SECONDS)) {
            record.line("node %s is killed after its grace period", node.name);
            node.process.destroyForcibly().waitFor();
        }
        start(node);
    }

    private String settings(String name, String zone, int callers, int readiness, int internal) {
        ObjectNode file = new ObjectNode();
        file.put("nodeName", name).put("role", "node").put("machineClass", "frontend");
        file.putArray("serves").add("frontend");
        file.put("ip", "127.0.0.1").put("zone", zone).put("region", "viti");
        file.putObject("listen")
                .put("frontend", "127.0.0.1:" + callers)
                .put("readiness", "127.0.0.1:" + readiness);
        file.putArray("internalPortRange").add(internal).add(internal);
        file.putArray("seeds");
        file.put("bootstrap", true).put("discovery", "platform").put("entry", "virtual_ip");
        file.putObject("limits").put("cpuShare", 0.75).put("cores", 1).put("memoryMb", 430);
        file.put("heartbeatIntervalMs", 1500).put("orders", "invocation");
        file.putObject("bounds")
                .put("stabilityWindowMs", 3000)
                .put("ackTimeoutMs", 4000)
                .put("drainTimeoutMs", 2000)
                .put("gracePeriodS", GRACE_PERIOD_S)
                .put("configApplyMs", 2000)
                .put("holdMaxMs", 10_000)
                .put("stopTimeoutMs", 400)
                .put("gangTimeoutMs", 3000)
                .put("cancel_ms", 3000)
                .put("visible_ms", 3000)
                .put("finish_s", 14)
                .put("status_s", 120)
                .put("remoteFactor", 3)
                .put("checkpointIntervalS", 1);
        file.putObject("platform")
                .put("address", store.address())
                .put("form", "log")
                .put("writesPerS", 800)
                .put("readsPerS", 2000)
                .put("keep_s", 300)
                .put("recordBytes", 262_144)
                .put("requestBytes", 2_097_152);
        return file.toString();
    }

    /**
     * Returns a free port. Each process tries a block of its own, below the ports that the system gives to outgoing
     * connections: another process could take the port before the node does.
     */
    private int freePort() throws IOException {
        while (nextPort < LAST_PORT) {
            int port = nextPort++;
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                return port;
            } catch (BindException e) {
                // In use.
            }
        }
        throw new IOException("no free port");
    }

    /** Stores a version of the operators' config. */
    public void config(ObjectNode config) {
        store.put("keyed.op", "config", config.toString());
        record.line("the store acknowledges config %s", config);
    }

    /** Creates a config without routes and tenants. */
    public static ObjectNode emptyConfig(int version, String service) {
        ObjectNode config = new ObjectNode().put("version", version);
        config.putArray("routes");
        config.putArray("services")
                .addObject()
                .put("name", service)
                .put("healthPath", "/health")
                .put("maxConnections", 64)
                .put("protocol", "h1")
                .put("admissionCheck", false);
        config.putObject("limits").put("maxHeaderBytes", 16_384).put("maxBodyBytes", 262_144);
        config.putArray("tenants");
        return config;
    }

    /** Adds a route to a config. */
    public static void addRoute(ObjectNode config, String name, String prefix, String service, boolean open) {
        config.withArray("routes")
                .addObject()
                .put("name", name)
                .put("host", "nony24.example")
                .put("pathPrefix", prefix)
                .put("kind", "non_idempotent")
                .put("timeoutMs", 3000)
                .put("targetCompletionMs", 1000)
                .put("priority", 1)
                .put("service", service)
                .put("maxAttempts", 3)
                .put("slackFactor", 3.0)
                .put("public", open);
    }

    /** Adds a tenant to a config. */
    public static void addTenant(ObjectNode config, String name, String... keys) {
        ObjectNode tenant = config.withArray("tenants").addObject().put("name", name);
        for (String key : keys) {
            tenant.withArray("apiKeys").add(key);
        }
        tenant.put("priority", 1).putObject("guaranteed").put("gpu", 8);
    }

    /** Returns the body of a job with one step; its work items run on any worker if no kind is required. */
    public static String job(String spec, int count, int gpu, long estimatedMs, String requiredKind) {
        ObjectNode body = new ObjectNode().put("spec", spec);
        ObjectNode step = body.putArray("steps").addObject();
        step.put("count", count).put("cpu", 4000).put("requestedMemoryMb", 1000).put("estimatedMs", estimatedMs);
        step.put("gpu", gpu);
        if (!requiredKind.isEmpty()) {
            step.put("requirements", requiredKind);
        }
        return body.toString();
    }

    /** Waits until all nodes are ready; returns false if they are not in time. */
    public boolean awaitReady(long timeoutMs) throws InterruptedException {
        long endMs = record.nowMs() + timeoutMs;
        while (record.nowMs() < endMs) {
            boolean ready = true;
            for (Node node : nodes) {
                ready &= exchange(node.readiness, "GET", "/-/readiness", "", "").status() == 200;
            }
            if (ready) {
                record.line("all nodes are ready");
                return true;
            }
            Thread.sleep(100);
        }
        record.line("the nodes are not ready in time");
        for (Node node : nodes) {
            recordOutput(node);
        }
        return false;
    }

    private void recordOutput(Node node) {
        try {
            List<String> lines = Files.readAllLines(folder.resolve(node.name + ".log"));
            lines.stream().skip(Math.max(0, lines.size() - 5)).forEach(line -> record.line("%s: %s", node.name, line));
        } catch (IOException e) {
            record.line("%s: no output: %s", node.name, e);
        }
    }

    /** Sends a caller's request to a node and records it with its answer. An empty key sends none. */
    public Reply call(Node node, String method, String path, String key, String body) {
        Reply reply = exchange(node.callers, method, path, key, body);
        record.line(
                "%s %s key '%s' %s-> %s: %d %s",
                method, path, key, body.isEmpty() ? "" : "body " + body + " ", node.name, reply.status(), reply.body());
        return reply;
    }

    private static Reply exchange(int port, String method, String path, String key, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: nony24.example\r\nConnection: close\r\n"
                + (key.isEmpty() ? "" : "Authorization: Token " + key + "\r\n")
                + "X-Fuchsiawinch-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: "
                + content.length + "\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(4000);
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
            request.writeBytes(content);
            socket.getOutputStream().write(request.toByteArray());
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            int split = answer.indexOf("\r\n\r\n");
            int status = Integer.parseInt(answer.substring(9, 12));
            String text = answer.substring(split + 4);
            return new Reply(status, text);
        } catch (IOException | RuntimeException e) {
            return new Reply(0, e.toString());
        }
    }

    /** Returns whether every node's process still runs. */
    public boolean nodesAlive() {
        return nodes.stream().allMatch(node -> node.process.isAlive());
    }

    @Override
    public void close() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
                try {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        store.close();
        try (var files = Files.list(folder)) {
            if (System.getenv("KEEP") == null) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
                Files.delete(folder);
            } else {
                System.err.println("kept " + folder);
            }
        } catch (IOException e) {
            record.line("temporary folder not removed: %s", e);
        }
    }
}
