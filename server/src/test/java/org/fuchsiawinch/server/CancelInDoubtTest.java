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
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.cell.Queue;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against jobs that run after their cancelling, when the store carries out their submission seconds later. */
public class CancelInDoubtTest {

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

    private static CallerRequest request(String id, String key) {
        return new CallerRequest("h", "/q/" + id, Optional.of(key), 3000);
    }

    private Answer cancel(String id, String key) {
        return node.requestHandler().cancel(request(id, key)).block(Duration.ofSeconds(1));
    }

    private Answer query(String key) {
        return node.requestHandler().query(request(ID, key)).block(Duration.ofSeconds(1));
    }

    private void storeSubmission() {
        CellRecord accepted = new CellRecord.Accepted(new Submission(
                ID,
                "q",
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(1, 3, 1.5, 250),
                time.now(TimeUnit.MILLISECONDS),
                "payload",
                steps()));
        store.entries.add(new StreamStore.Entry(accepted.key(), new RecordCodec().encode(accepted)));
        advance(1000);
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

    private long storedCancellations() {
        return store.entries.stream()
                .filter(entry -> entry.key().startsWith(CellRecord.CancelRequested.PREFIX))
                .count();
    }

    // Guards against a job that runs after its caller was told that no such job exists.
    @Test
    public void cancelsAJobWhoseSubmissionIsStoredAfterItsCancelling() {
        assertEquals(cancel(ID, "key"), new Answer.NoSuchJob());
        storeSubmission();
        assertEquals(query("key"), new Answer.State(JobPhase.CANCELLED));
    }

    // Guards against an answer that promises a cancelling which the store has not taken.
    @Test
    public void promisesNothingWhenTheStoreDoesNotAnswerTheCancelling() {
        store.appendAnswers.add(() -> new StreamStore.AppendResult.Unknown("lost"));
        Answer[] answer = new Answer[1];
        node.requestHandler()
                .cancel(new CallerRequest("h", "/q/" + ID, Optional.of("key"), 300))
                .subscribe(given -> answer[0] = given);
        advance(200);
        assertEquals(answer[0], new Answer.Uncertain());
    }

    // Guards against a cancelling that prevents the job of another workspace.
    @Test
    public void leavesTheJobsOfOtherWorkspacesAlone() {
        assertEquals(cancel(ID, "other-key"), new Answer.NoSuchJob());
        storeSubmission();
        assertEquals(query("key"), new Answer.State(JobPhase.QUEUED));
        long before = storedCancellations();
        assertEquals(cancel(ID, "other-key"), new Answer.NoSuchJob());
        assertEquals(storedCancellations(), before);
        assertEquals(query("key"), new Answer.State(JobPhase.QUEUED));
    }

    // Guards against a store that fills with the cancellings of one caller or of ids that no job can have.
    @Test
    public void storesOneCancellationPerValidId() {
        for (int call = 0; call < 3; call++) {
            assertEquals(cancel(ID, "key"), new Answer.NoSuchJob());
            assertEquals(cancel("not-an-id", "key"), new Answer.NoSuchJob());
            assertEquals(cancel("", "key"), new Answer.NoSuchJob());
        }
        assertEquals(storedCancellations(), 1);
    }

    // Guards against a repeated submission that revives a cancelled job.
    @Test
    public void keepsAJobCancelledThatIsSubmittedAgain() {
        cancel(ID, "key");
        Answer answer = node.requestHandler()
                .submit(request(ID, "key"), () -> new JobBody.Job("payload", steps()))
                .block(Duration.ofSeconds(1));
        assertTrue(answer instanceof Answer.Accepted, "" + answer);
        advance(1000);
        assertEquals(query("key"), new Answer.State(JobPhase.CANCELLED));
    }
}
