package org.fuchsiawinch.server;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.server.api.Answer;
import org.fuchsiawinch.server.api.CallerRequest;
import org.fuchsiawinch.server.owner.OwnerSession;
import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.cell.Queue;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a node that hears nothing of the store and tells callers that a job runs which has ended, and against
 * callers who wait a second before they ask another node. Load: a third of the nodes cut off for eight seconds.
 */
public class CutOffNodeTest {

    private static final String ID = "0123456789abcdef";

    private VirtualTimeScheduler time;
    private FakeStore store;
    private Node node;

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
        store.put("config", "1");
        node = new Node(
                new NodeSettings("n1", 7, 1, OwnerSettings.of("n1", 6000, 3, 120_000)),
                new OwnerSession.Ports(store, new UnresponsiveWorkers(), new TwoWorkspaces()),
                time,
                () -> time.now(TimeUnit.MILLISECONDS),
                () -> 0,
                (event, pairs) -> {},
                new MetricRegistry());
        node.start();
        advance(2000);
    }

    private void advance(long ms) {
        time.advanceTimeBy(Duration.ofMillis(ms));
    }

    private static final class TwoWorkspaces implements EntryDecoder {

        @Override
        public Optional<WorkerListing> decodeWorker(String key, byte[] value) {
            return Optional.empty();
        }

        @Override
        public Optional<CellRules> decodeRules(String key, byte[] value) {
            if (!key.equals("config")) {
                return Optional.empty();
            }
            Queue queue = new Queue("q", "h", "/q/", "desk", new Submission.QueueRules(1, 3, 1.5, 250), false);
            return Optional.of(new CellRules(
                    1,
                    List.of(queue),
                    Map.of("key", new WorkspaceId("ws"), "other-key", new WorkspaceId("other")),
                    Guarantees.NONE,
                    1000));
        }
    }

    private Answer query(long leftMs) {
        return node.requestHandler()
                .query(new CallerRequest("h", "/q/" + ID, Optional.of("key"), leftMs))
                .block(Duration.ofSeconds(1));
    }

    private void store(CellRecord record) {
        store.entries.add(new StreamStore.Entry(record.key(), new RecordCodec().encode(record)));
        advance(1000);
    }

    private void storeSubmission() {
        store(new CellRecord.Accepted(new Submission(
                ID,
                "q",
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(1, 3, 1.5, 250),
                time.now(TimeUnit.MILLISECONDS),
                "payload",
                steps())));
    }

    private void storeEnd() {
        CellRecord.TaskProgress done =
                new CellRecord.TaskProgress(TaskPhase.DONE, 1, 0, 0, Optional.of(new WorkerId("w1")), "");
        store(new CellRecord.Progress(ID, "q", JobPhase.COMPLETED, 5000, List.of(List.of(done))));
    }

    private static List<StepSpec> steps() {
        return List.of(new StepSpec(
                1,
                new Resources(500, 256, 0, 0, 0),
                300,
                List.of(),
                false,
                false,
                false,
                0,
                Optional.empty(),
                Optional.empty()));
    }

    @Test
    public void sendsTheCallerOfAnOpenJobToAnotherNode() {
        storeSubmission();
        assertEquals(query(3000), new Answer.State(JobPhase.QUEUED));
        store.silent = true;
        advance(4000);
        assertEquals(query(3000), new Answer.Unavailable("store-silent", 0));
        assertEquals(query(2900), new Answer.Unavailable("store-silent", 1));
        store.silent = false;
        advance(2000);
        assertEquals(query(3000), new Answer.State(JobPhase.QUEUED));
    }

    // What has ended stays so.
    @Test
    public void stillShowsAnEndThatItHasRead() {
        storeSubmission();
        storeEnd();
        store.silent = true;
        advance(4000);
        assertEquals(query(3000), new Answer.State(JobPhase.COMPLETED));
    }
}
