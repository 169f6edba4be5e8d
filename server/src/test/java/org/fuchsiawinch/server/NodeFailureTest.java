package org.fuchsiawinch.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.server.api.CallerRequest;
import org.fuchsiawinch.server.owner.OwnerSession;
import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.port.WorkerGateway;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.cell.Queue;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.fuchsiawinch.workflow.owner.WorkerReport;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that an unexpected failure in one action of a node ends neither the node nor what it follows. */
public class NodeFailureTest {

    private static final String WORKER_KEY = "worker-1";
    private static final String BAD_WORKER_KEY = "worker-bad";
    private static final WorkerReport IDLE = new WorkerReport(1, 1000, List.of(), List.of(), true);

    private static final Queue QUEUE =
            new Queue("q", "h", "/q/", "desk", new Submission.QueueRules(1, 3, 1.5, 250), false);

    private VirtualTimeScheduler time;
    private FakeStore store;
    private List<String> log;

    /** Supplies the answer to each renewal. */
    private Supplier<Mono<WorkerGateway.RenewResult>> renewal;

    private int renewals;

    /** Supplies what the decoder throws at the bad entry. */
    private Supplier<Error> decoderFailure;

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
        store.put("config", "rules");
        store.put(WORKER_KEY, "ready");
        log = new ArrayList<>();
        renewal = () -> Mono.just(new WorkerGateway.RenewResult.Answered(IDLE));
        renewals = 0;
        decoderFailure = () -> new StackOverflowError("nested too deeply");
    }

    private Node startNode(String name, long seed) {
        Node node = new Node(
                new NodeSettings(name, seed, 1, OwnerSettings.of(name, 6000, 3, 120_000)),
                new OwnerSession.Ports(store, new ScriptedWorkers(), new ThrowingDecoder()),
                time,
                () -> time.now(TimeUnit.MILLISECONDS),
                () -> 0,
                (event, pairs) -> log.add(event),
                new MetricRegistry());
        node.start();
        return node;
    }

    private void advance(long ms) {
        time.advanceTimeBy(Duration.ofMillis(ms));
    }

    private long count(String event) {
        return log.stream().filter(event::equals).count();
    }

    private final class ScriptedWorkers implements WorkerGateway {

        @Override
        public Mono<RenewResult> renew(String address, long epoch, OwnerEffect.Renew order) {
            renewals++;
            return renewal.get().delayElement(Duration.ofMillis(100), time);
        }

        @Override
        public Mono<StartOutcome> start(
                String address, long epoch, OwnerEffect.Start order, BooleanSupplier permitted) {
            return Mono.just(StartOutcome.STARTED);
        }

        @Override
        public Mono<Boolean> stop(String address, long epoch, OwnerEffect.Stop order) {
            return Mono.just(true);
        }
    }

    private final class ThrowingDecoder implements EntryDecoder {

        @Override
        public Optional<WorkerListing> decodeWorker(String key, byte[] value) {
            if (key.equals(BAD_WORKER_KEY)) {
                throw decoderFailure.get();
            }
            return key.startsWith(WORKER_KEY)
                    ? Optional.of(new WorkerListing(
                            new WorkerRegistration(
                                    new WorkerId(key),
                                    "desk",
                                    "r1",
                                    List.of(),
                                    new Resources(1000, 1000, 8, 0, 0),
                                    false),
                            "10.0.0.1:80"))
                    : Optional.empty();
        }

        @Override
        public Optional<CellRules> decodeRules(String key, byte[] value) {
            return key.equals("config")
                    ? Optional.of(new CellRules(
                            1, List.of(QUEUE), Map.of("key", new WorkspaceId("ws")), Guarantees.NONE, 1000))
                    : Optional.empty();
        }
    }

    // Guards against an owner that goes on, or hangs, with a state that a failed decision has left behind.
    @Test
    public void releasesTheCellWhenADecisionFails() {
        startNode("n1", 7);
        advance(500);
        assertEquals(count("cell-taken"), 1);
        renewal = () -> Mono.just(new WorkerGateway.RenewResult.Answered(null));
        advance(500);
        assertEquals(count("owner-failed"), 1);
        assertEquals(count("cell-given-up"), 1);
        assertEquals(
                lastOwnerRecord(), new CellRecord.Owner("n1", lastOwnerRecord().epoch(), true));
    }

    // Guards against a cell that goes back at once to the node whose decision has failed.
    @Test
    public void leavesTheCellToAnotherNodeAfterAFailure() {
        startNode("n1", 7);
        advance(500);
        startNode("n2", 900);
        renewal = () -> Mono.just(new WorkerGateway.RenewResult.Answered(null));
        advance(300);
        renewal = () -> Mono.just(new WorkerGateway.RenewResult.Answered(IDLE));
        advance(2000);
        assertEquals(lastOwnerRecord().node(), "n2");
        assertFalse(lastOwnerRecord().released());
    }

    // Guards against a worker that is never asked again after one call has ended with an error.
    @Test
    public void asksAWorkerAgainAfterAnUnexpectedErrorOfTheGateway() {
        startNode("n1", 7);
        advance(500);
        renewal = () -> Mono.error(new IllegalStateException("unexpected"));
        advance(500);
        renewal = () -> Mono.just(new WorkerGateway.RenewResult.Answered(IDLE));
        int before = renewals;
        advance(2000);
        assertTrue(renewals > before + 3, "renewals " + (renewals - before));
        assertEquals(count("cell-given-up"), 0);
    }

    // Guards against an owner that stops reading the workers' list at an entry on which the decoder fails.
    @Test
    public void followsTheWorkersBeyondAnEntryOnWhichTheDecoderFails() {
        store.put(BAD_WORKER_KEY, "[[[[");
        startNode("n1", 7);
        advance(1000);
        assertEquals(count("worker-listed"), 1);
        assertEquals(count("cell-given-up"), 0);
    }

    // Guards against a node that never claims again after one claim has ended with an error.
    @Test
    public void claimsAgainAfterAnUnexpectedErrorOfTheStore() {
        store.appendAnswers.add(() -> {
            throw new IllegalStateException("unexpected");
        });
        startNode("n1", 7);
        advance(1500);
        assertEquals(count("cell-taken"), 1);
    }

    // Guards against a cell without an owner after a record whose epoch leaves no higher one.
    @Test
    public void claimsTheCellAfterARecordWithAnEpochThatLeavesNoHigherOne() {
        for (long epoch : new long[] {Long.MAX_VALUE, Long.MAX_VALUE - 1, 1L << 62, Long.MIN_VALUE}) {
            create();
            CellRecord odd = new CellRecord.Owner("other", epoch, false);
            store.entries.add(new StreamStore.Entry(odd.key(), new RecordCodec().encode(odd)));
            startNode("n1", 7);
            advance(3000);
            assertEquals(count("cell-taken"), 1, "epoch " + epoch);
            store.entries.add(new StreamStore.Entry(odd.key(), new RecordCodec().encode(odd)));
            advance(3000);
            assertEquals(count("cell-given-up"), 0, "epoch " + epoch);
        }
    }

    @DataProvider
    public Object[][] errors() {
        return new Object[][] {
            {(Supplier<Error>) () -> new OutOfMemoryError("Java heap space")},
            {(Supplier<Error>) () -> new NoClassDefFoundError("org/example/Missing")},
            {(Supplier<Error>) () -> new StackOverflowError("nested too deeply")},
        };
    }

    // Guards against an owner that stops reading the workers' list after an error at one entry.
    @Test(dataProvider = "errors")
    public void followsTheWorkersBeyondAnError(Supplier<Error> error) {
        decoderFailure = error;
        startNode("n1", 7);
        advance(1000);
        store.put(BAD_WORKER_KEY, "ready");
        advance(1000);
        store.put(WORKER_KEY + "0", "ready");
        advance(1000);
        assertEquals(count("worker-listed"), 2);
        assertEquals(count("cell-given-up"), 0);
    }

    // Guards against a node that neither claims nor follows any more after an error in one call to the store.
    @Test(dataProvider = "errors")
    public void goesOnAfterAnErrorInACallToTheStore(Supplier<Error> error) {
        store.appendAnswers.add(() -> {
            throw error.get();
        });
        startNode("n1", 7);
        advance(1500);
        assertEquals(count("cell-taken"), 1);
        store.nextReadError = error.get();
        advance(2000);
        int before = store.reads;
        advance(2000);
        assertTrue(store.reads > before + 3, "reads " + (store.reads - before));
        assertEquals(count("cell-given-up"), 0);
    }

    // Guards against a worker that is never asked again after an error in one call to it.
    @Test(dataProvider = "errors")
    public void asksAWorkerAgainAfterAnErrorInACall(Supplier<Error> error) {
        startNode("n1", 7);
        advance(500);
        renewal = () -> {
            throw error.get();
        };
        advance(500);
        renewal = () -> Mono.just(new WorkerGateway.RenewResult.Answered(IDLE));
        int before = renewals;
        advance(2000);
        assertTrue(renewals > before + 3, "renewals " + (renewals - before));
        assertEquals(count("cell-given-up"), 0);
    }

    // Guards against a caller without an answer, as Reactor throws such errors instead of passing them on.
    @Test(dataProvider = "errors")
    public void signalsAnErrorInACallersRequest(Supplier<Error> error) {
        Node node = startNode("n1", 7);
        advance(1000);
        CallerRequest request = new CallerRequest("h", "/q/0123456789abcdef", Optional.of("key"), 3000);
        Throwable[] signalled = new Throwable[1];
        node.requestHandler()
                .submit(request, () -> {
                    throw error.get();
                })
                .subscribe(answer -> {}, failure -> signalled[0] = failure);
        assertTrue(signalled[0] instanceof IllegalStateException, "" + signalled[0]);
    }

    private CellRecord.Owner lastOwnerRecord() {
        RecordCodec codec = new RecordCodec();
        return store.entries.stream()
                .filter(entry -> entry.key().equals(CellRecord.OWNER_KEY))
                .map(entry -> (CellRecord.Owner) codec.decode(entry.key(), entry.value()))
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }
}
