package org.fuchsiawinch.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.server.api.Answer;
import org.fuchsiawinch.server.api.CallerRequest;
import org.fuchsiawinch.server.api.JobBody;
import org.fuchsiawinch.server.owner.OwnerSession;
import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.cell.Queue;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that a node whose machine was suspended, so that its clock stood still, acts on nothing it knew before. */
public class SuspensionTest {

    private static final CallerRequest QUERY = new CallerRequest("h", "/q/", Optional.of("key"), 3000);
    private static final CallerRequest SUBMISSION =
            new CallerRequest("h", "/q/0123456789abcdef", Optional.of("key"), 3000);

    private VirtualTimeScheduler time;
    private FakeStore store;
    private Node node;
    private long suspendedMs;

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
        store.put("config", "1");
        suspendedMs = 0;
        List<String> log = new ArrayList<>();
        node = new Node(
                new NodeSettings("n1", 7, 1, OwnerSettings.of("n1", 6000, 3, 120_000)),
                new OwnerSession.Ports(store, new UnresponsiveWorkers(), new VersionDecoder()),
                time,
                () -> time.now(TimeUnit.MILLISECONDS),
                this::takeSuspensionMs,
                (event, pairs) -> log.add(event),
                new MetricRegistry());
        node.start();
        time.advanceTimeBy(Duration.ofSeconds(2));
    }

    private long takeSuspensionMs() {
        long taken = suspendedMs;
        suspendedMs = 0;
        return taken;
    }

    /** Decodes the value as the version of a document; the key is withdrawn with version 2. */
    private static final class VersionDecoder implements EntryDecoder {

        @Override
        public Optional<WorkerListing> decodeWorker(String key, byte[] value) {
            return Optional.empty();
        }

        @Override
        public Optional<CellRules> decodeRules(String key, byte[] value) {
            if (!key.equals("config")) {
                return Optional.empty();
            }
            long version = value[0] - '0';
            Queue queue = new Queue("q", "h", "/q/", "desk", new Submission.QueueRules(1, 3, 1.5, 250), false);
            return Optional.of(new CellRules(
                    version,
                    List.of(queue),
                    version == 1 ? Map.of("key", new WorkspaceId("ws")) : Map.of(),
                    Guarantees.NONE,
                    1000));
        }
    }

    // Guards against a submission with a key that was withdrawn while the machine was suspended.
    @Test
    public void acceptsNoSubmissionOnRulesFromBeforeASuspension() {
        store.answerDelayMs = 20;
        store.put("config", "2");
        suspendedMs = 8000;
        node.checkForSuspension();
        assertFalse(node.ready(time.now(TimeUnit.MILLISECONDS)));
        Answer answer = node.requestHandler()
                .submit(SUBMISSION, () -> new JobBody.Job("payload", List.of()))
                .block(Duration.ofSeconds(1));
        assertTrue(answer instanceof Answer.Unavailable, "" + answer);
        assertTrue(store.entries.stream().noneMatch(entry -> entry.key().startsWith("j/")));
        time.advanceTimeBy(Duration.ofMillis(200));
        assertEquals(node.requestHandler().query(QUERY).block(), new Answer.UnknownKey());
    }

    // Guards against an answer from before the suspension that makes old rules look fresh.
    @Test
    public void ignoresAnswersToReadsFromBeforeASuspension() {
        store.answerDelayMs = 300;
        time.advanceTimeBy(Duration.ofMillis(650));
        suspendedMs = 8000;
        node.checkForSuspension();
        time.advanceTimeBy(Duration.ofMillis(200));
        assertFalse(node.ready(time.now(TimeUnit.MILLISECONDS)));
        time.advanceTimeBy(Duration.ofMillis(1000));
        assertTrue(node.ready(time.now(TimeUnit.MILLISECONDS)));
    }

    // Guards against a suspension that is not seen, and against a clock that is set back taken for one.
    @Test
    public void clockTellsSuspensionsFromOtherChanges() {
        long[] wallMs = {1_000_000};
        long[] nanos = {5_000_000_000L};
        NodeClock clock = new NodeClock(() -> wallMs[0], () -> nanos[0]);
        wallMs[0] += 700;
        nanos[0] += 700_000_000;
        assertEquals(clock.takeSuspensionMs(), 0);
        wallMs[0] += 6000;
        assertEquals(clock.takeSuspensionMs(), 6000);
        assertEquals(clock.takeSuspensionMs(), 0);
        assertEquals(clock.nowMs(), 1_000_700);
        wallMs[0] -= 3000;
        assertEquals(clock.takeSuspensionMs(), 0);
        wallMs[0] += 400;
        assertEquals(clock.takeSuspensionMs(), 0);
    }
}
