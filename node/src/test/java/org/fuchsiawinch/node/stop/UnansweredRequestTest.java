package org.fuchsiawinch.node.stop;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.core.GuaranteeScheduler;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.node.http.NodeHttpServer;
import org.fuchsiawinch.node.http.NodeStatus;
import org.fuchsiawinch.node.http.OpenRequests;
import org.fuchsiawinch.node.loop.NodeLoop;
import org.fuchsiawinch.node.records.BurnReportRecorder;
import org.fuchsiawinch.protocol.fold.LedgerDocumentFold;
import org.fuchsiawinch.protocol.node.NodeMachine;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that a server that stops answers a request that got no reply from the state machine. */
public class UnansweredRequestTest {

    private static final int RING_SIZE = 64;
    private static final int BODY_LIMIT_BYTES = 1024;
    private static final long CALLER_TIMEOUT_MS = 10_000;
    private static final long TEST_TIMEOUT_MS = 20_000;
    /** Time that the clock advances with each reading, so that the server's time-outs are short. */
    private static final long CLOCK_STEP_MS = 100;

    private final AtomicLong nowMs = new AtomicLong();
    private final MetricRegistry metrics = new MetricRegistry();
    private final OpenRequests openRequests = new OpenRequests();
    private final NodeStatus status = new NodeStatus("node", "local", () -> {});
    private final NodeLoop loop = new NodeLoop(
            new NodeMachine(
                    NodeSettings.defaults(new NodeId("node-1"), 0), new LedgerDocumentFold(), GuaranteeScheduler::new),
            effect -> {},
            nowMs::get,
            RING_SIZE,
            metrics);

    @Test(timeOut = TEST_TIMEOUT_MS)
    public void answersAtTheEndOfTheStop() throws Exception {
        int port = NodeChild.freePort();
        NodeHttpServer server = new NodeHttpServer(
                "127.0.0.1",
                port,
                BODY_LIMIT_BYTES,
                NodeChild.FOUNDING_TOKEN,
                loop,
                openRequests,
                Optional::empty,
                metrics,
                status,
                new BurnReportRecorder(),
                List::of,
                List::of,
                () -> nowMs.addAndGet(CLOCK_STEP_MS));
        server.start();
        KeepAliveCaller caller = new KeepAliveCaller(
                        port,
                        number -> "POST /v1/document HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer "
                                + NodeChild.FOUNDING_TOKEN + "\r\nContent-Length: 2\r\n\r\n{}",
                        0,
                        () -> false)
                .start();
        awaitRequest();
        status.requestDrain();
        server.stop();
        assertTrue(caller.ended(CALLER_TIMEOUT_MS), "the caller still waits");
        assertEquals(caller.cuts().size(), 0, caller.cuts().toString());
        KeepAliveCaller.Answer answer = caller.answers().element();
        assertEquals(answer.status(), 202);
        assertTrue(answer.body().contains("\"PENDING\""), answer.body());
        assertTrue(answer.last(), "the close is not announced");
    }

    /** Waits until the loop, which does not run, has been given the request. */
    private void awaitRequest() {
        while (metrics.getGauges().get("loop.waiting").getValue().equals(0L)) {
            Thread.onSpinWait();
        }
    }
}
