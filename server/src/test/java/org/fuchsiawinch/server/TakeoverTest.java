package org.fuchsiawinch.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.server.owner.OwnerSession;
import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that a node that takes the cell slowly keeps it, and that a dead owner is still replaced quickly. */
public class TakeoverTest {

    private static final int NODES = 8;

    /** Epoch of an owner that writes nothing any more. */
    private static final long DEAD_OWNER_EPOCH = 70_000;

    private final RecordCodec codec = new RecordCodec();
    private VirtualTimeScheduler time;
    private FakeStore store;
    private List<String> log;

    /** Event whose next line fails. */
    private String failingEvent;

    private Set<String> deadNodes;

    /** Nodes whose reads of the latest entries end with a time-out. */
    private Set<String> nodesWithoutPages;

    /** Time in ms after which the owner of the cell handles an answer of the store; other nodes do so at once. */
    private long ownerDelayMs;

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
        store.appendDelayMs = 10;
        store.answerDelayMs = 10;
        store.put("config", "rules");
        log = new ArrayList<>();
        deadNodes = new HashSet<>();
        nodesWithoutPages = new HashSet<>();
        ownerDelayMs = 0;
        failingEvent = "";
    }

    /** Store as seen by one node. */
    private final class NodeStore implements StreamStore {

        private final String node;

        private NodeStore(String node) {
            this.node = node;
        }

        /** Delivers an answer when the node handles it. */
        private <T> Mono<T> delivered(Supplier<Mono<T>> call) {
            if (deadNodes.contains(node)) {
                return Mono.never();
            }
            return call.get().flatMap(answer -> {
                long delayMs = node.equals(currentOwner()) ? ownerDelayMs : 0;
                return delayMs == 0
                        ? Mono.just(answer)
                        : Mono.delay(Duration.ofMillis(delayMs), time).map(waited -> answer);
            });
        }

        @Override
        public Mono<AppendResult> append(List<Entry> entries, Optional<Writer> writer, OptionalLong expectedEnd) {
            return delivered(() -> store.append(entries, writer, expectedEnd));
        }

        @Override
        public Mono<ReadResult> read(org.fuchsiawinch.server.port.Stream stream, long from, long waitMs) {
            return delivered(() -> store.read(stream, from, waitMs));
        }

        @Override
        public Mono<PageResult> readLatest(org.fuchsiawinch.server.port.Stream stream, Optional<String> after) {
            return nodesWithoutPages.contains(node)
                    ? Mono.delay(Duration.ofMillis(FakeStore.TIMEOUT_MS), time)
                            .map(ended -> new PageResult.Failed("unanswered"))
                    : delivered(() -> store.readLatest(stream, after));
        }
    }

    private static final class SingleDocumentDecoder implements EntryDecoder {

        @Override
        public Optional<WorkerListing> decodeWorker(String key, byte[] value) {
            return Optional.empty();
        }

        @Override
        public Optional<CellRules> decodeRules(String key, byte[] value) {
            return key.equals("config")
                    ? Optional.of(new CellRules(1, List.of(), Map.of(), Guarantees.NONE, 1000))
                    : Optional.empty();
        }
    }

    private void startNode(String name, long seed) {
        Node node = new Node(
                new NodeSettings(name, seed, 1, OwnerSettings.of(name, 6000, 3, 120_000)),
                new OwnerSession.Ports(new NodeStore(name), new UnresponsiveWorkers(), new SingleDocumentDecoder()),
                time,
                () -> time.now(TimeUnit.MILLISECONDS),
                () -> 0,
                this::logged,
                new MetricRegistry());
        node.start();
    }

    private void logged(String event, Object... pairs) {
        log.add(event);
        if (event.equals(failingEvent)) {
            failingEvent = "";
            throw new IllegalStateException("the log fails at " + event);
        }
    }

    private void startNodes(long seed) {
        Random seeds = new Random(seed);
        for (int i = 1; i <= NODES; i++) {
            startNode("n" + i, Integer.toUnsignedLong(seeds.nextInt()));
        }
    }

    private void advance(long ms) {
        time.advanceTimeBy(Duration.ofMillis(ms));
    }

    private void append(CellRecord record) {
        store.entries.add(new StreamStore.Entry(record.key(), codec.encode(record)));
    }

    /** Stores a number of entries, so that the state of the cell takes several pages. */
    private void putEntries(int count) {
        for (int i = 0; i < count; i++) {
            store.put(String.format("c/%016x", i), "?");
        }
    }

    private long count(String event) {
        return log.stream().filter(event::equals).count();
    }

    private Stream<CellRecord.Owner> ownerRecords() {
        return store.entries.stream()
                .filter(entry -> entry.key().equals(CellRecord.OWNER_KEY))
                .map(entry -> (CellRecord.Owner) codec.decode(entry.key(), entry.value()));
    }

    private String currentOwner() {
        return ownerRecords()
                .reduce((earlier, later) -> later)
                .map(CellRecord.Owner::node)
                .orElse("");
    }

    /** Returns the epochs under which a node other than the dead owner has claimed the cell, in order. */
    private List<Long> claimedEpochs() {
        return ownerRecords()
                .map(CellRecord.Owner::epoch)
                .filter(epoch -> epoch != DEAD_OWNER_EPOCH)
                .distinct()
                .toList();
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    // Guards against nodes that claim one after the other as none of them can load the cell before the next one claims.
    @Test(dataProvider = "seeds")
    public void aNodeThatLoadsTheCellSlowlyIsNotReplaced(long seed) {
        append(new CellRecord.Owner("n0", DEAD_OWNER_EPOCH, false));
        putEntries(50);
        startNodes(seed);
        advance(1000);
        store.maxEntriesPerPage = 10;
        store.pageDelayMs = 700;
        advance(9000);
        assertEquals(claimedEpochs().size(), 1, "claims " + claimedEpochs());
        assertEquals(count("cell-taken"), 1);
    }

    // Guards against a load that begins anew with each page that gets no answer, and never ends on a slow store.
    @Test(dataProvider = "seeds")
    public void loadingGoesOnAtThePageThatFailed(long seed) {
        append(new CellRecord.Owner("n0", DEAD_OWNER_EPOCH, false));
        putEntries(100);
        startNodes(seed);
        advance(1000);
        Random failures = new Random(seed);
        store.maxEntriesPerPage = 10;
        store.nextPageUnanswered = () -> failures.nextDouble() < 0.4;
        advance(25_000);
        assertEquals(claimedEpochs().size(), 1, "claims " + claimedEpochs());
        assertEquals(count("cell-taken"), 1);
    }

    // Guards against a cell that stays with a node which never gets the stored state although others would.
    @Test(dataProvider = "seeds")
    public void aNodeThatReadsNoPageLeavesTheCellToOthers(long seed) {
        append(new CellRecord.Owner("n0", DEAD_OWNER_EPOCH, false));
        startNodes(seed);
        advance(1000);
        store.nextPageUnanswered = () -> true;
        advance(1500);
        nodesWithoutPages.add(currentOwner());
        store.nextPageUnanswered = () -> false;
        advance(12_000);
        assertEquals(claimedEpochs().size(), 2, "claims " + claimedEpochs());
        assertEquals(count("cell-taken"), 1);
    }

    @DataProvider
    public Object[][] delaysMsAndSeeds() {
        return new Object[][] {{1800, 1}, {1800, 2}, {1800, 3}, {3500, 1}, {3500, 2}, {3500, 3}};
    }

    // Guards against an owner that neither schedules nor leaves the cell after a failure at the end of its load.
    @Test(dataProvider = "seeds")
    public void leavesTheCellIfTheLoadFailsAfterItsProof(long seed) {
        append(new CellRecord.Owner("n0", DEAD_OWNER_EPOCH, false));
        for (int i = 0; i < 30; i++) {
            store.put(String.format("t/%016x", i), "?");
        }
        startNodes(seed);
        advance(1000);
        store.maxEntriesPerPage = 10;
        store.pageDelayMs = 420;
        store.appendDelayMs = 1000;
        failingEvent = "cell-loaded";
        advance(14_000);
        assertEquals(count("owner-failed"), 1);
        assertEquals(count("cell-taken"), 1);
        assertEquals(claimedEpochs().size(), 2, "claims " + claimedEpochs());
    }

    // Guards against owners in quick succession where each one is slow in its first seconds, as a take-over costs time.
    @Test(dataProvider = "delaysMsAndSeeds")
    public void anOwnerThatIsSlowAfterItsClaimIsKeptInTheEnd(long delayMs, long seed) {
        append(new CellRecord.Owner("n0", DEAD_OWNER_EPOCH, false));
        startNodes(seed);
        advance(1000);
        ownerDelayMs = delayMs;
        advance(15_000);
        int claims = claimedEpochs().size();
        assertTrue(claims <= 3, "claims " + claimedEpochs());
        advance(20_000);
        assertEquals(claimedEpochs().size(), claims, "claims " + claimedEpochs());
    }

    // Guards against an owner that goes on loading the cell although another node has claimed it.
    @Test
    public void aSupersededNodeStopsLoading() {
        append(new CellRecord.Owner("n0", DEAD_OWNER_EPOCH, false));
        putEntries(50);
        startNode("n1", 7);
        advance(1000);
        store.maxEntriesPerPage = 10;
        store.pageDelayMs = 700;
        advance(2000);
        assertEquals(claimedEpochs().size(), 1);
        append(new CellRecord.Owner("n2", 1 << 30, false));
        advance(600);
        assertEquals(count("cell-taken"), 0);
        assertEquals(count("cell-given-up"), 1);
    }

    // Guards against a time-out that grows without need: a dead owner is replaced at once on a calm system.
    @Test(dataProvider = "seeds")
    public void aDeadOwnerIsReplacedQuicklyOnACalmSystem(long seed) {
        startNodes(seed);
        advance(30_000);
        assertEquals(claimedEpochs().size(), 1);
        deadNodes.add(currentOwner());
        advance(2100);
        assertEquals(claimedEpochs().size(), 2, "claims " + claimedEpochs());
        assertEquals(count("cell-taken"), 2);
    }
}
