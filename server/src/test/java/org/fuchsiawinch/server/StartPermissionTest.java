package org.fuchsiawinch.server;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.server.owner.OwnerSession;
import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.port.WorkerGateway;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.job.StepSpec;
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
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against start orders that wait for a connection and are sent once another node may own the cell. */
public class StartPermissionTest {

    private static final String JOB = "0123456789abcdef";
    private static final String WORKER_KEY = "worker";

    /** Time in ms after which another node may claim the cell. */
    private static final long TERM_MS = 1200;

    private VirtualTimeScheduler time;
    private FakeStore store;
    private Node node;
    private boolean appendsUnanswered;
    private long suspendedMs;
    private int starts;
    private BooleanSupplier permitted;
    private Sinks.One<StartOutcome> outcome;

    @BeforeMethod
    public void createOwnerWhoseFirstStartWaits() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
        store.put("config", "rules");
        store.put(WORKER_KEY, "w1");
        appendsUnanswered = false;
        suspendedMs = 0;
        starts = 0;
        RecordCodec codec = new RecordCodec();
        CellRecord job = new CellRecord.Accepted(new Submission(
                JOB,
                "q",
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(1, 3, 1.5, 250),
                0,
                "payload",
                List.of(new StepSpec(
                        1,
                        new Resources(1, 1, 1, 0, 0),
                        600_000,
                        List.of(),
                        false,
                        false,
                        false,
                        0,
                        Optional.empty(),
                        Optional.empty()))));
        store.entries.add(new StreamStore.Entry(job.key(), codec.encode(job)));
        node = new Node(
                new NodeSettings("n1", 7, 1, OwnerSettings.of("n1", 6000, 3, 120_000)),
                new OwnerSession.Ports(new OwnerStore(), new BusyGateway(), new TestDecoder()),
                time,
                () -> time.now(TimeUnit.MILLISECONDS),
                this::takeSuspensionMs,
                (event, pairs) -> {},
                new MetricRegistry());
        node.start();
        for (int i = 0; i < 100 && starts == 0; i++) {
            advance(20);
        }
        assertEquals(starts, 1);
        assertTrue(permitted.getAsBoolean());
    }

    private long takeSuspensionMs() {
        long taken = suspendedMs;
        suspendedMs = 0;
        return taken;
    }

    private void advance(long ms) {
        time.advanceTimeBy(Duration.ofMillis(ms));
    }

    private final class OwnerStore implements StreamStore {

        @Override
        public Mono<AppendResult> append(List<Entry> entries, Optional<Writer> writer, OptionalLong expectedEnd) {
            return appendsUnanswered ? Mono.never() : store.append(entries, writer, expectedEnd);
        }

        @Override
        public Mono<ReadResult> read(Stream stream, long from, long waitMs) {
            return store.read(stream, from, waitMs);
        }

        @Override
        public Mono<PageResult> readLatest(Stream stream, Optional<String> after) {
            return store.readLatest(stream, after);
        }
    }

    private static final class TestDecoder implements EntryDecoder {

        @Override
        public Optional<WorkerListing> decodeWorker(String key, byte[] value) {
            return Optional.of(key)
                    .filter(WORKER_KEY::equals)
                    .map(worker -> new WorkerListing(
                            new WorkerRegistration(
                                    new WorkerId("w1"), "desk", "r", List.of(), new Resources(8, 8, 8, 8, 8), false),
                            "host:1"));
        }

        @Override
        public Optional<CellRules> decodeRules(String key, byte[] value) {
            return Optional.of(key)
                    .filter("config"::equals)
                    .map(document -> new CellRules(1, List.of(), Map.of(), Guarantees.NONE, 1000));
        }
    }

    /** Keeps start orders waiting for a connection. */
    private final class BusyGateway implements WorkerGateway {

        @Override
        public Mono<RenewResult> renew(String address, long epoch, OwnerEffect.Renew order) {
            return Mono.delay(Duration.ofMillis(20), time)
                    .map(waited -> new RenewResult.Answered(
                            new WorkerReport(1, time.now(TimeUnit.MILLISECONDS), List.of(), List.of(), true)));
        }

        @Override
        public Mono<StartOutcome> start(
                String address, long epoch, OwnerEffect.Start order, BooleanSupplier permission) {
            starts++;
            permitted = permission;
            outcome = Sinks.one();
            return outcome.asMono();
        }

        @Override
        public Mono<Boolean> stop(String address, long epoch, OwnerEffect.Stop order) {
            return Mono.never();
        }
    }

    @Test
    public void ownerThatHearsNothingOfTheStoreSendsNoWaitingStart() {
        appendsUnanswered = true;
        advance(TERM_MS);
        assertFalse(permitted.getAsBoolean());
    }

    @Test
    public void ownerWhoseHeartbeatsAreStoredSendsAWaitingStart() {
        advance(3 * TERM_MS);
        assertTrue(permitted.getAsBoolean());
    }

    @Test
    public void ownerThatWasSuspendedSendsNoWaitingStart() {
        appendsUnanswered = true;
        suspendedMs = 3000;
        assertFalse(permitted.getAsBoolean());
    }

    @Test
    public void ownerThatHasReleasedTheCellSendsNoWaitingStart() {
        node.drain();
        assertFalse(permitted.getAsBoolean());
    }

    // Guards against a task that is never started because its first order was withheld.
    @Test
    public void withheldStartIsOrderedAgainAfterTheNextAppend() {
        outcome.tryEmitValue(StartOutcome.WITHHELD);
        advance(100);
        assertEquals(starts, 2);
        assertTrue(permitted.getAsBoolean());
    }
}
