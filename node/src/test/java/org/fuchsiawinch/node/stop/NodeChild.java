package org.fuchsiawinch.node.stop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.fuchsiawinch.node.NodeMain;

/** A node in a process of its own. */
final class NodeChild implements AutoCloseable {

    static final String FOUNDING_TOKEN = "sample-founding";

    /** Not the output of the test itself, which the test runner reads. */
    private static final Path OUTPUT = Path.of("target", "node-child.log");

    private static final long START_TIMEOUT_MS = 20_000;

    private final Process process;
    private final int port;

    private NodeChild(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    /** Starts a node; its port may not be open yet. */
    static NodeChild start(int port, int platformPort) throws IOException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-Dreactor.netty.ioWorkerCount=2",
                        "-cp",
                        System.getProperty("java.class.path"),
                        NodeMain.class.getName(),
                        "--name",
                        "child",
                        "--port",
                        Integer.toString(port),
                        "--platform-url",
                        "http://127.0.0.1:" + platformPort,
                        "--founding-token",
                        FOUNDING_TOKEN)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(OUTPUT.toFile()))
                .start();
        return new NodeChild(process, port);
    }

    /** Returns a port that was free a moment ago. */
    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    int port() {
        return port;
    }

    /** Connects as soon as the port is open. */
    Socket connectFirst() throws IOException {
        long untilMs = System.currentTimeMillis() + START_TIMEOUT_MS;
        while (true) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                if (System.currentTimeMillis() > untilMs || !process.isAlive()) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    /** Sends SIGTERM and returns at once. */
    void terminate() {
        process.destroy();
    }

    /** Waits for the end of the process; returns its status, or empty if it still runs. */
    OptionalInt exitStatus(long waitMs) throws InterruptedException {
        return process.waitFor(waitMs, TimeUnit.MILLISECONDS)
                ? OptionalInt.of(process.exitValue())
                : OptionalInt.empty();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
