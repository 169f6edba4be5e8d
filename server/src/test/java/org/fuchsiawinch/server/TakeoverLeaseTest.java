package org.fuchsiawinch.server;

import java.time.Duration;
import java.util.ArrayList;
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
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
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
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the leases around a change of owner: how long a new owner waits for earlier ones, and when it grants its own. */
public class TakeoverLeaseTest {

    private static final String JOB = "0123456789abcdef";
    private static final String WORKER_KEY = "worker";
    private static final TaskRun RUN = new TaskRun(new TaskRef(JOB, 0, 0), 1);
    private static final long OTHER_EPOCH = 70_000;

    /** Longest time in ms for which an owner grants leases after its last record, and the length of a lease. */
    private static final long LONGEST_LEASE_AFTER_RECORD_MS = 4000 + 6000;

    private final RecordCodec codec = new RecordCodec();
    private VirtualTimeScheduler time;
    private FakeStore store;
    private boolean workerAnswers;
    private boolean otherOwnerAlive;
    private boolean ownAppendsUnanswered;
    private long suspendedMs;
    private int claims;
    private long releasedMs;
    private long leases;

    /** What happens to a claim, by its condition. */
    private ClaimHandler claimHandler;

    /** Handles a claim of the node. */
    private interface ClaimHandler {
        Mono<StreamStore.AppendResult> handle(OptionalLong expectedEnd, Mono<StreamStore.AppendResult> append);
    }

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
        store.put("config", "rules");
        workerAnswers = false;
        otherOwnerAlive = false;
        ownAppendsUnanswered = false;
        suspendedMs = 0;
        claims = 0;
        releasedMs = 0;
        leases = 0;
        claimHandler = (expectedEnd, append) -> append;
        put(new CellRecord.Accepted(new Submission(
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
                        Optional.empty())))));
        put(new CellRecord.Progress(
                JOB,
                "q",
                JobPhase.ACTIVE,
                0,
                List.of(List.of(new CellRecord.TaskProgress(
                        TaskPhase.ASSIGNED, 1, 0, 0, Optional.of(new WorkerId("w1")), "")))));
        putOwner();
    }

    private void put(CellRecord record) {
        store.entries.add(new StreamStore.Entry(record.key(), codec.encode(record)));
    }

    private void putOwner() {
        put(new CellRecord.Owner("n0", OTHER_EPOCH, false));
    }

    private final class NodeStore implements StreamStore {

        @Override
        public Mono<AppendResult> append(List<Entry> entries, Optional<Writer> writer, OptionalLong expectedEnd) {
            Mono<AppendResult> append = Mono.defer(() -> store.append(entries, writer, expectedEnd));
            if (writer.isPresent() && writer.get().sequence() == 0) {
                claims++;
                return claimHandler.handle(expectedEnd, append);
            }
            return ownAppendsUnanswered ? Mono.never() : append;
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
            return key.equals(WORKER_KEY)
                    ? Optional.of(new WorkerListing(
                            new WorkerRegistration(
                                    new WorkerId("w1"), "desk", "r", List.of(), new Resources(8, 8, 8, 8, 8), false),
                            "host:1"))
                    : Optional.empty();
        }

        @Override
        public Optional<CellRules> decodeRules(String key, byte[] value) {
            return key.equals("config")
                    ? Optional.of(new CellRules(1, List.of(), Map.of(), Guarantees.NONE, 1000))
                    : Optional.empty();
        }
    }

    /** A worker that runs the run, if it answers. */
    private final class OneWorker implements WorkerGateway {

        @Override
        public Mono<RenewResult> renew(String address, long epoch, OwnerEffect.Renew order) {
            if (!workerAnswers) {
                return Mono.never();
            }
            leases += order.leaseEndMs().isPresent() ? 1 : 0;
            return Mono.delay(Duration.ofMillis(100), time)
                    .map(waited -> new RenewResult.Answered(new WorkerReport(
                            1, nowMs(), List.of(new WorkerReport.RunningTask(RUN, "", 10)), List.of(), true)));
        }

        @Override
        public Mono<StartOutcome> start(
                String address, long epoch, OwnerEffect.Start order, BooleanSupplier permitted) {
            return Mono.never();
        }

        @Override
        public Mono<Boolean> stop(String address, long epoch, OwnerEffect.Stop order) {
            return Mono.never();
        }
    }

    private long nowMs() {
        return time.now(TimeUnit.MILLISECONDS);
    }

    private void advance(long ms) {
        time.advanceTimeBy(Duration.ofMillis(ms));
    }

    private void startNode() {
        Node node = new Node(
                new NodeSettings("n1", 7, 1, OwnerSettings.of("n1", 6000, 3, 120_000)),
                new OwnerSession.Ports(new NodeStore(), new OneWorker(), new TestDecoder()),
                time,
                this::nowMs,
                this::takeSuspensionMs,
                this::logged,
                new MetricRegistry());
        node.start();
        time.schedulePeriodically(
                () -> {
                    if (otherOwnerAlive) {
                        putOwner();
                    }
                },
                400,
                400,
                TimeUnit.MILLISECONDS);
    }

    private long takeSuspensionMs() {
        long taken = suspendedMs;
        suspendedMs = 0;
        return taken;
    }

    private void logged(String event, Object... pairs) {
        if (event.equals("run-released")) {
            releasedMs = nowMs();
        }
    }

    // Guards against a run that is started again while its worker has a lease: an unconditional claim took effect late,
    // after records that the node had not read at its newest, conditional claim.
    @Test
    public void waitsForTheLeasesOfAnOwnerThatStoredRecordsBeforeALateClaim() {
        List<Mono<StreamStore.AppendResult>> late = new ArrayList<>();
        claimHandler = (expectedEnd, append) -> {
            if (expectedEnd.isPresent()) {
                return Mono.just(new StreamStore.AppendResult.Moved(store.entries.size()));
            }
            late.add(append);
            otherOwnerAlive = true;
            return Mono.just(new StreamStore.AppendResult.Unknown("silent"));
        };
        startNode();
        advance(5000);
        assertTrue(!late.isEmpty(), "an unconditional claim");
        claimHandler = (expectedEnd, append) -> {
            assertTrue(expectedEnd.isPresent());
            otherOwnerAlive = true;
            putOwner();
            return append;
        };
        otherOwnerAlive = false;
        int before = claims;
        for (int i = 0; i < 100 && claims == before; i++) {
            advance(100);
        }
        assertEquals(claims, before + 1, "a conditional claim that fails");
        advance(6000);
        assertEquals(claims, before + 1);
        otherOwnerAlive = false;
        putOwner();
        long lastRecordMs = nowMs();
        late.get(0).subscribe();
        advance(20_000);
        assertTrue(
                releasedMs >= lastRecordMs + LONGEST_LEASE_AFTER_RECORD_MS,
                "released " + (releasedMs - lastRecordMs) + " ms after the last record of the earlier owner");
    }

    // Guards against leases on the permission of a claim from before a suspension in which the clock stood still.
    @Test
    public void grantsNoLeaseOnAClaimFromBeforeASuspension() {
        store.put(WORKER_KEY, "w1");
        workerAnswers = true;
        ownAppendsUnanswered = true;
        startNode();
        advance(1000);
        store.pageDelayMs = 400;
        int before = claims;
        for (int i = 0; i < 50 && claims == before; i++) {
            advance(50);
        }
        assertEquals(claims, before + 1);
        suspendedMs = 8000;
        advance(3000);
        assertEquals(leases, 0, "leases before the store has confirmed another append");
        ownAppendsUnanswered = false;
    }
}
