package org.fuchsiawinch.server.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that an append is reported as stored exactly once when answers are lost, late or duplicated. */
public class FencedAppenderTest {

    private static final StreamStore.AppendResult STORED = new StreamStore.AppendResult.Stored(1);
    private static final StreamStore.AppendResult UNKNOWN = new StreamStore.AppendResult.Unknown("timeout");

    private VirtualTimeScheduler time;
    private DeferredStore store;
    private List<String> events;
    private FencedAppender appender;

    /** Holds each append open until the test answers it. */
    private static final class DeferredStore implements StreamStore {

        private final List<Sinks.One<AppendResult>> unanswered = new ArrayList<>();
        private final List<Long> sequences = new ArrayList<>();

        @Override
        public Mono<AppendResult> append(List<Entry> entries, Optional<Writer> writer, OptionalLong expectedEnd) {
            Sinks.One<AppendResult> answer = Sinks.one();
            unanswered.add(answer);
            sequences.add(writer.orElseThrow().sequence());
            return answer.asMono();
        }

        @Override
        public Mono<ReadResult> read(Stream stream, long from, long waitMs) {
            throw new UnsupportedOperationException("reads are not expected in this test");
        }

        @Override
        public Mono<PageResult> readLatest(Stream stream, Optional<String> after) {
            throw new UnsupportedOperationException("reads are not expected in this test");
        }

        private void answer(int index, AppendResult result) {
            unanswered.get(index).tryEmitValue(result).orThrow();
        }
    }

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new DeferredStore();
        events = new ArrayList<>();
        appender = new FencedAppender(store, time, 7, DecisionLog.NONE, () -> events.add("fenced"));
    }

    private void append(String name) {
        appender.append(List.of(new StreamStore.Entry(name, new byte[1])), () -> events.add(name));
    }

    private void advance(long ms) {
        time.advanceTimeBy(Duration.ofMillis(ms));
    }

    @Test
    public void retriesAnUnansweredAppendWithTheSameSequenceNumber() {
        append("a");
        store.answer(0, UNKNOWN);
        advance(50);
        store.answer(1, STORED);
        assertEquals(store.sequences, List.of(1L, 1L));
        assertEquals(events, List.of("a"));
        assertFalse(appender.busy());
    }

    @Test
    public void retriesAtOnceWhenTheStoreRecovers() {
        append("a");
        appender.storeRecovered();
        store.answer(1, STORED);
        assertEquals(events, List.of("a"));
    }

    @Test
    public void reportsStoredOnceIfBothTriesAreAnswered() {
        append("a");
        appender.storeRecovered();
        store.answer(0, STORED);
        append("b");
        store.answer(1, STORED);
        assertEquals(events, List.of("a"));
        assertTrue(appender.busy());
        assertEquals(store.sequences, List.of(1L, 1L, 2L));
    }

    @Test
    public void ignoresALateFailureOfAnEarlierTry() {
        append("a");
        appender.storeRecovered();
        store.answer(0, UNKNOWN);
        advance(5000);
        assertEquals(store.unanswered.size(), 2);
    }

    // Guards against a sequence number that reaches the store before the one that it follows.
    @Test
    public void sendsAnAppendOnceTheEarlierOneIsStored() {
        append("a");
        append("b");
        store.answer(0, UNKNOWN);
        advance(50);
        assertEquals(store.sequences, List.of(1L, 1L));
        store.answer(1, STORED);
        assertEquals(store.sequences, List.of(1L, 1L, 2L));
        store.answer(2, STORED);
        assertEquals(events, List.of("a", "b"));
        assertFalse(appender.busy());
    }

    @Test
    public void reportsFencingByAHigherEpoch() {
        append("a");
        store.answer(0, new StreamStore.AppendResult.Fenced());
        assertEquals(events, List.of("fenced"));
    }

    @Test
    public void sendsNothingAfterClose() {
        append("a");
        appender.close();
        store.answer(0, UNKNOWN);
        advance(5000);
        appender.storeRecovered();
        assertEquals(store.unanswered.size(), 1);
    }
}
