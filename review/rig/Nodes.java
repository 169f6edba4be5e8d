package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's nodes, started as the deploy file says, each in a process of its own. */
public final class Nodes implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final Path root;
    private final Path folder;
    private final Recorder recorder;
    private final List<Node> nodes = new ArrayList<>();

    /** One node; it can be killed and started again. */
    public final class Node {
        public final String name;
        public final String address;
        public final String storeAddress;
        private final Path settings;
        private final Path log;
        private Process process;

        private Node(String name, String storeAddress, Map<String, Object> bounds) throws IOException {
            this.name = name;
            this.storeAddress = storeAddress;
            this.address = "127.0.0.1:" + Http.freePort();
            this.settings = folder.resolve(name + ".json");
            this.log = folder.resolve(name + ".log");
            int firstPort = Http.freePort();
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
                                    Json.map("frontend", address, "readiness", "127.0.0.1:" + Http.freePort()),
                            "internalPortRange", List.of(firstPort, firstPort),
                            "bootstrap", true,
                            "limits",
                                    Json.map(
                                            "cpuShare", 0.75,
                                            "cores", 1,
                                            "memoryMb", 430,
                                            "fileDescriptors", 4100,
                                            "linkMbps", 1000.0,
                                            "diskMb", 0),
                            "discovery", "platform",
                            "heartbeatIntervalMs", 1500,
                            "bounds", bounds,
                            "orders", "invocation",
                            "platform",
                                    Json.map(
                                            "address", storeAddress,
                                            "form", "log",
                                            "writesPerS", 800,
                                            "readsPerS", 2000,
                                            "parts", 16,
                                            "appendMs", 3.0,
                                            "recordBytes", 262144,
                                            "requestBytes", 2097152,
                                            "keep_s", 300,
                                            "partitionMb", 200))));
        }

        public void start() throws IOException {
            Matcher matcher = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!matcher.find()) {
                throw new IOException("no run in deploy/system.toml");
            }
            ProcessBuilder builder = new ProcessBuilder(matcher.group(1).split(" "));
            builder.directory(root.toFile());
            builder.environment()
                    .keySet()
                    .removeIf(variable -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(variable));
            builder.environment().put("FUCHSIAWINCH_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            recorder.line("node " + name + " started");
        }

        public void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            recorder.line("node " + name + " killed");
        }

        public void signal(String signal) throws IOException, InterruptedException {
            recorder.line("node " + name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        public boolean alive() {
            return process != null && process.isAlive();
        }

        public String logText() throws IOException {
            return Files.readString(log);
        }

        /** Returns whether this node holds the cell, from its log. */
        public boolean owns() throws IOException {
            String text = alive() ? logText() : "";
            return text.lastIndexOf("cell-taken") > text.lastIndexOf("cell-given-up");
        }
    }

    public Nodes(Path root, Path folder, Recorder recorder) {
        this.root = root;
        this.folder = folder;
        this.recorder = recorder;
    }

    /** The bounds of the small site of the pages. */
    public static Map<String, Object> bounds() {
        return Json.map(
                "stabilityWindowMs", 3000,
                "drainTimeoutMs", 2000,
                "gracePeriodS", 6,
                "configApplyMs", 2000,
                "holdMaxMs", 10000,
                "stopTimeoutMs", 400,
                "gangTimeoutMs", 3000,
                "cancel_ms", 3000,
                "visible_ms", 3000,
                "status_s", 120,
                "remoteFactor", 3,
                "checkpointIntervalS", 1,
                "leaseMs", 3000);
    }

    public Node add(String name, String storeAddress) throws IOException {
        Node node = new Node(name, storeAddress, bounds());
        nodes.add(node);
        return node;
    }

    public List<Node> all() {
        return nodes;
    }

    /** Returns the node that holds the cell, or null. */
    public Node owner() throws IOException {
        for (Node node : nodes) {
            if (node.owns()) {
                return node;
            }
        }
        return null;
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
    }
}
