package org.fuchsiawinch.server.owner;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.server.failure.FailureBarrier;
import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests how the entries of the workers reach the owner. */
public class WorkerListTest {

    private static final int WORKERS = 246;

    /** Time in ms that an entry takes. */
    private static final long ENTRY_MS = 6;

    /** Time in ms for which other events may wait: a fraction of the silence after which an owner is missed. */
    private static final long MAX_TURN_MS = 250;

    private VirtualTimeScheduler time;
    private List<OwnerInput> inputs;
    private WorkerList list;
    private long nowMs;

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        inputs = new ArrayList<>();
        nowMs = 0;
        list = new WorkerList(
                new TextDecoder(),
                time,
                () -> nowMs,
                new FailureBarrier(DecisionLog.NONE),
                DecisionLog.NONE,
                inputs::add);
    }

    /** Decodes entries whose value is the id of the worker, or id, process, sequence and state; fails on one. */
    private final class TextDecoder implements EntryDecoder {

        @Override
        public Optional<WorkerListing> decodeWorker(String key, byte[] value) {
            nowMs += ENTRY_MS;
            String[] fields = new String(value, StandardCharsets.UTF_8).split(" ");
            if (fields[0].equals("odd")) {
                throw new IllegalStateException("odd entry");
            }
            boolean versioned = fields.length > 1;
            long incarnation = versioned ? Long.parseLong(fields[1]) : 0;
            return Optional.of(new WorkerListing(
                    new WorkerRegistration(
                            new WorkerId(fields[0]),
                            incarnation,
                            "desk",
                            "r",
                            List.of(),
                            new Resources(1, 1, 1, 1, 1),
                            versioned && fields[3].equals("draining")),
                    versioned ? Long.parseLong(fields[2]) : 0,
                    "host:" + (1 + incarnation)));
        }

        @Override
        public Optional<CellRules> decodeRules(String key, byte[] value) {
            return Optional.empty();
        }
    }

    private static StreamStore.StoredEntry entry(long offset, String key, String value) {
        return new StreamStore.StoredEntry(offset, new StreamStore.Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    private static List<StreamStore.StoredEntry> entries(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> entry(i, "key" + i, "w" + i))
                .toList();
    }

    private long listed() {
        return inputs.stream().filter(OwnerInput.WorkerListed.class::isInstance).count();
    }

    /** Guards against an owner whose heartbeat waits behind the first contact with all workers of a large fleet. */
    @Test
    public void givesOtherEventsTheirTurnBetweenTheWorkersOfALargeFleet() {
        list.onSnapshot(entries(WORKERS));
        assertTrue(nowMs <= MAX_TURN_MS, nowMs + " ms in one turn");
        for (int turn = 0; listed() < WORKERS; turn++) {
            assertTrue(turn < WORKERS, "no progress");
            long startMs = nowMs;
            time.advanceTimeBy(Duration.ofMillis(1));
            assertTrue(nowMs - startMs <= MAX_TURN_MS, nowMs - startMs + " ms in one turn");
        }
        assertTrue(inputs.contains(new OwnerInput.WorkersPending(true)));
        assertEquals(inputs.get(inputs.size() - 1), new OwnerInput.WorkersPending(false));
        assertEquals(list.address(new WorkerId("w245")), "host:1");
    }

    @Test
    public void deliversSmallChangesAtOnce() {
        list.onEntries(entries(3));
        assertEquals(inputs.size(), 3);
    }

    /** Guards against a worker that stays listed although its removal came while others waited for their turn. */
    @Test
    public void keepsTheOrderOfEntriesThatComeMeanwhile() {
        list.onSnapshot(entries(100));
        list.onEntries(List.of(entry(100, "key99", "")));
        time.advanceTimeBy(Duration.ofMillis(100));
        assertEquals(inputs.get(inputs.size() - 2), new OwnerInput.WorkerUnlisted(new WorkerId("w99")));
        assertEquals(inputs.get(inputs.size() - 1), new OwnerInput.WorkersPending(false));
    }

    /** Guards against workers that are used although a newer snapshot no longer has them. */
    @Test
    public void newSnapshotReplacesTheEntriesThatWait() {
        list.onSnapshot(entries(100));
        list.onSnapshot(entries(20));
        time.advanceTimeBy(Duration.ofMillis(100));
        assertTrue(inputs.stream()
                .filter(OwnerInput.WorkerListed.class::isInstance)
                .map(OwnerInput.WorkerListed.class::cast)
                .noneMatch(input -> input.registration().id().equals(new WorkerId("w70"))));
        assertEquals(list.address(new WorkerId("w19")), "host:1");
    }

    /** Guards against a list that ends at one odd entry. */
    @Test
    public void goesOnAfterAnEntryOnWhichTheDecoderFails() {
        List<StreamStore.StoredEntry> all = new ArrayList<>(entries(100));
        all.set(70, entry(70, "odd", "odd"));
        list.onSnapshot(all);
        time.advanceTimeBy(Duration.ofMillis(100));
        assertEquals(listed(), 99);
    }

    private void read(String... values) {
        for (String value : values) {
            list.onEntries(List.of(entry(0, "key", value)));
        }
    }

    private WorkerRegistration lastListed() {
        return inputs.stream()
                .filter(OwnerInput.WorkerListed.class::isInstance)
                .map(input -> ((OwnerInput.WorkerListed) input).registration())
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    /** Guards against new work on a draining worker: the store carries out an earlier entry of it seconds later. */
    @Test
    public void ignoresAnEntryThatIsOlderThanTheLastOne() {
        read("w 7 4 ready", "w 7 6 draining");
        nowMs += 6000;
        read("w 7 5 ready");
        assertTrue(lastListed().leaving());
        read("w 7 7 ready");
        assertEquals(lastListed().leaving(), false);
    }

    /** Guards against orders to the address, or by the kind, of an earlier process of a worker. */
    @Test
    public void ignoresAnEntryOfAnEarlierProcess() {
        read("w 7 9 ready", "w 8 1 ready", "w 7 10 ready");
        assertEquals(lastListed().incarnation(), 8);
        assertEquals(list.address(new WorkerId("w")), "host:9");
    }

    /** Guards against a worker that has left and is in use again as one of its entries comes late. */
    @Test
    public void ignoresALateEntryOfAWorkerThatHasLeft() {
        read("w 7 4 ready", "w 7 6 draining", "");
        int before = inputs.size();
        read("w 7 5 ready");
        assertEquals(inputs.size(), before);
        read("w 7 7 ready");
        assertEquals(inputs.size(), before + 1);
    }

    /** Guards against a worker that is never used again as another writer has left an entry of a high number for it. */
    @Test
    public void usesTheEntriesOfAWorkerAgainAfterOneOfAnotherWriter() {
        read("w 7 4 ready", "w 99 9007199254740993 draining", "w 7 5 ready");
        assertTrue(lastListed().leaving());
        nowMs += 16_000;
        read("w 7 15 ready");
        assertEquals(lastListed().leaving(), false);
        assertEquals(lastListed().incarnation(), 7);
    }

    @Test
    public void deliversNothingOnceClosed() {
        list.onSnapshot(entries(100));
        long before = listed();
        list.close();
        time.advanceTimeBy(Duration.ofMillis(100));
        assertEquals(listed(), before);
    }
}
