package org.fuchsiawinch.node.stop;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import org.fuchsiawinch.standin.PlatformServer;
import org.fuchsiawinch.standin.log.LogStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.netty.DisposableServer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Checks that callers of a node get a whole answer to each request that they sent around its start and stop. */
public class PlannedStopTest {

    private static final long LOG_RETENTION_MS = 86_400_000;
    private static final int CALLERS = 24;
    private static final int WAITING_CALLERS = 4;
    /** Callers pause for none, one, two or three steps after an answer. */
    private static final long PAUSE_STEP_MS = 20;

    private static final long LOAD_MS = 500;
    private static final long EXIT_TIMEOUT_MS = 20_000;
    private static final long START_FAILURE_MS = 10_000;
    private static final long BALANCER_INTERVAL_MS = 400;
    private static final int BALANCER_FAILURES = 2;
    private static final String CALLER_TOKEN = "sample-token-plans";

    private DisposableServer platform;
    private int platformPort;

    @BeforeMethod
    public void startPlatform() {
        platformPort = NodeChild.freePort();
        platform = new PlatformServer(
                        "127.0.0.1", platformPort, new LogStore(LOG_RETENTION_MS), List.of(), System::currentTimeMillis)
                .start();
    }

    @AfterMethod
    public void stopPlatform() {
        platform.disposeNow();
    }

    @Test
    public void answersEveryRequestOnOpenConnections() throws Exception {
        try (NodeChild node = startedNode()) {
            List<KeepAliveCaller> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(caller(node, i, i % 4 * PAUSE_STEP_MS, () -> false).start());
            }
            for (int i = 0; i < WAITING_CALLERS; i++) {
                callers.add(waitingCaller(node, i).start());
            }
            Thread.sleep(LOAD_MS);
            node.terminate();
            OptionalInt status = node.exitStatus(EXIT_TIMEOUT_MS);
            assertTrue(status.isPresent(), "the process still runs");
            assertNoneIsCut(callers);
        }
    }

    @Test
    public void answersNewConnectionsUntilTheBalancerHasDroppedTheNode() throws Exception {
        try (NodeChild node = startedNode()) {
            AtomicBoolean inBalancer = new AtomicBoolean(true);
            List<KeepAliveCaller> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(
                        caller(node, i, i % 4 * PAUSE_STEP_MS, inBalancer::get).start());
            }
            Thread.sleep(LOAD_MS);
            node.terminate();
            for (int failed = 0; failed < BALANCER_FAILURES; ) {
                Thread.sleep(BALANCER_INTERVAL_MS);
                failed = healthy(node) ? 0 : failed + 1;
            }
            inBalancer.set(false);
            assertNoneIsCut(callers);
            assertEquals(callers.stream().filter(KeepAliveCaller::refused).count(), 0, "callers refused");
            assertTrue(node.exitStatus(EXIT_TIMEOUT_MS).isPresent(), "the process still runs");
        }
    }

    @Test(invocationCount = 2)
    public void drainsOnASignalJustAfterThePortOpens() throws Exception {
        try (NodeChild node = NodeChild.start(NodeChild.freePort(), platformPort)) {
            node.connectFirst().close();
            KeepAliveCaller caller = new KeepAliveCaller(
                            node.port(), number -> request("GET", "/health", CALLER_TOKEN, ""), 0, () -> false)
                    .start();
            node.terminate();
            assertNoneIsCut(List.of(caller));
            assertFalse(caller.refused(), "the port was closed without a drain");
        }
    }

    @Test
    public void endsIfThePortIsInUse() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                NodeChild node = NodeChild.start(other.getLocalPort(), platformPort)) {
            assertEquals(node.exitStatus(START_FAILURE_MS), OptionalInt.of(1));
        }
    }

    private static void assertNoneIsCut(List<KeepAliveCaller> callers) throws InterruptedException {
        for (KeepAliveCaller caller : callers) {
            assertTrue(caller.ended(EXIT_TIMEOUT_MS), "a caller still waits");
        }
        List<KeepAliveCaller.Cut> cuts =
                callers.stream().flatMap(caller -> caller.cuts().stream()).toList();
        assertEquals(cuts, List.of(), "requests cut");
    }

    private static boolean healthy(NodeChild node) throws InterruptedException {
        KeepAliveCaller check = new KeepAliveCaller(
                        node.port(), number -> lastRequest("GET", "/health", CALLER_TOKEN, ""), 0, () -> false)
                .start();
        return check.ended(EXIT_TIMEOUT_MS) && check.answers().stream().anyMatch(answer -> answer.status() == 200);
    }

    private static KeepAliveCaller waitingCaller(NodeChild node, int index) {
        return new KeepAliveCaller(
                node.port(),
                number -> request("POST", "/v1/jobs?waitMs=60000", CALLER_TOKEN, job("waits-" + index + "-" + number)),
                0,
                () -> false);
    }

    private static KeepAliveCaller caller(NodeChild node, int index, long pauseMs, BooleanSupplier reconnects) {
        return new KeepAliveCaller(
                node.port(),
                number -> switch (number % 4) {
                    case 0 -> request("POST", "/v1/jobs", CALLER_TOKEN, job("job-" + index + "-" + number));
                    case 1 -> request("GET", "/v1/jobs/job-" + index + "-" + (number - 1), CALLER_TOKEN, "");
                    case 2 -> request("GET", "/health", CALLER_TOKEN, "");
                    default -> request("GET", "/metrics", CALLER_TOKEN, "");
                },
                pauseMs,
                reconnects);
    }

    private NodeChild startedNode() throws Exception {
        NodeChild node = NodeChild.start(NodeChild.freePort(), platformPort);
        node.connectFirst().close();
        String document = Files.readString(Path.of("..", "samples", "lagilagi", "document.yaml"));
        KeepAliveCaller founder = new KeepAliveCaller(
                        node.port(),
                        number -> lastRequest("POST", "/v1/document", NodeChild.FOUNDING_TOKEN, document),
                        0,
                        () -> false)
                .start();
        assertTrue(founder.ended(EXIT_TIMEOUT_MS));
        assertEquals(
                founder.answers().element().status(), 200, founder.answers().toString());
        return node;
    }

    private static String job(String key) {
        return "{\"key\":\"" + key + "\",\"kind\":\"bundle\",\"parts\":1,\"perPart\":{\"cpuMillis\":2000,"
                + "\"memoryMb\":8192,\"accelerators\":1,\"slots\":1,\"connections\":2},\"declaredRunMs\":1000,"
                + "\"idempotent\":true,\"payload\":\"\"}";
    }

    private static String request(String method, String path, String token, String body) {
        return request(method, path, token, body, "keep-alive");
    }

    private static String lastRequest(String method, String path, String token, String body) {
        return request(method, path, token, body, "close");
    }

    private static String request(String method, String path, String token, String body, String connection) {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return method + " " + path + " HTTP/1.1\r\nHost: node\r\nConnection: " + connection
                + "\r\nAuthorization: Bearer " + token + "\r\nContent-Length: " + length + "\r\n\r\n" + body;
    }
}
