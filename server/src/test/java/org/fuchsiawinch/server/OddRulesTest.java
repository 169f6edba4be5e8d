package org.fuchsiawinch.server;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.server.api.Answer;
import org.fuchsiawinch.server.api.CallerRequest;
import org.fuchsiawinch.server.api.JobBody;
import org.fuchsiawinch.server.owner.OwnerSession;
import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.cell.Queue;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what callers are answered while a queue's rules are out of range. */
public class OddRulesTest {

    private static final String ID = "0123456789abcdef";

    private record OneQueue(Submission.QueueRules rules) implements EntryDecoder {

        @Override
        public Optional<WorkerListing> decodeWorker(String key, byte[] value) {
            return Optional.empty();
        }

        @Override
        public Optional<CellRules> decodeRules(String key, byte[] value) {
            Queue queue = new Queue("q", "h", "/q/", "desk", rules, false);
            return key.equals("config")
                    ? Optional.of(new CellRules(
                            1, List.of(queue), Map.of("key", new WorkspaceId("ws")), Guarantees.NONE, 1000))
                    : Optional.empty();
        }
    }

    private VirtualTimeScheduler time;
    private FakeStore store;

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
    }

    private Answer submit(Submission.QueueRules rules) {
        store.put("config", "1");
        Node node = new Node(
                new NodeSettings("n1", 7, 1, OwnerSettings.of("n1", 6000, 3, 120_000)),
                new OwnerSession.Ports(store, new UnresponsiveWorkers(), new OneQueue(rules)),
                time,
                () -> time.now(TimeUnit.MILLISECONDS),
                () -> 0,
                (event, pairs) -> {},
                new MetricRegistry());
        node.start();
        time.advanceTimeBy(Duration.ofMillis(2000));
        StepSpec step = new StepSpec(
                1,
                new Resources(500, 256, 0, 0, 0),
                300,
                List.of(),
                false,
                false,
                false,
                0,
                Optional.empty(),
                Optional.empty());
        return node.requestHandler()
                .submit(
                        new CallerRequest("h", "/q/" + ID, Optional.of("key"), 3000),
                        () -> new JobBody.Job("payload", List.of(step)))
                .block(Duration.ofSeconds(1));
    }

    @DataProvider
    public Object[][] rulesOutOfRange() {
        return new Object[][] {
            {new Submission.QueueRules(-1, 3, 1.5, 250)},
            {new Submission.QueueRules(1, 3, 1.5, -1)},
            {new Submission.QueueRules(1, 3, -1, 250)},
            {new Submission.QueueRules(1, 3, Double.NaN, 250)},
            {new Submission.QueueRules(1, 3, Double.POSITIVE_INFINITY, 250)},
        };
    }

    // Guards against a job that is accepted and lost, since all nodes skip its record as unreadable.
    @Test(dataProvider = "rulesOutOfRange")
    public void acceptsNoJobThatNoNodeCanRead(Submission.QueueRules rules) {
        assertEquals(submit(rules), new Answer.Unavailable("queue-rules-out-of-range", 1));
        assertTrue(store.entries.stream().noneMatch(entry -> entry.key().contains(ID)));
    }

    @Test
    public void acceptsJobsWhoseRulesAreAtTheirLimits() {
        assertEquals(submit(new Submission.QueueRules(0, -1, 0, 0)), new Answer.Accepted());
    }
}
