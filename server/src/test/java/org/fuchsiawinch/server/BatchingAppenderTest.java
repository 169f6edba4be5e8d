package org.fuchsiawinch.server;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.port.StreamStore.AppendResult;
import org.fuchsiawinch.server.stream.BatchingAppender;
import org.fuchsiawinch.server.stream.BatchingAppender.Outcome;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/** Tests that an entry is reported as not stored only if no append of it can have been stored or still be stored. */
public class BatchingAppenderTest {

    private static final StreamStore.Entry ENTRY = new StreamStore.Entry("j/1", new byte[] {1});

    private VirtualTimeScheduler time;
    private FakeStore store;
    private BatchingAppender appender;

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
        appender = new BatchingAppender(store, time, this::nowMs, DecisionLog.NONE);
    }

    private long nowMs() {
        return time.now(TimeUnit.MILLISECONDS);
    }

    private AtomicReference<Outcome> submit(long timeoutMs) {
        AtomicReference<Outcome> outcome = new AtomicReference<>();
        appender.store(ENTRY, nowMs() + timeoutMs).subscribe(outcome::set);
        return outcome;
    }

    private void refuse(int times) {
        for (int i = 0; i < times; i++) {
            store.appendAnswers.add(() -> new AppendResult.Refused("503"));
        }
    }

    @Test
    public void storesWithoutRetry() {
        assertEquals(submit(1000).get(), Outcome.STORED);
    }

    @Test
    public void retriesARefusedAppend() {
        refuse(1);
        AtomicReference<Outcome> outcome = submit(1000);
        assertNull(outcome.get());
        time.advanceTimeBy(Duration.ofMillis(200));
        assertEquals(outcome.get(), Outcome.STORED);
    }

    @Test
    public void reportsNotStoredIfEveryAppendWasRefused() {
        refuse(100);
        AtomicReference<Outcome> outcome = submit(300);
        time.advanceTimeBy(Duration.ofMillis(400));
        assertEquals(outcome.get(), Outcome.NOT_STORED);
    }

    @Test
    public void reportsUnknownAfterOneLostAnswer() {
        store.appendAnswers.add(() -> new AppendResult.Unknown("timeout"));
        refuse(100);
        AtomicReference<Outcome> outcome = submit(300);
        time.advanceTimeBy(Duration.ofMillis(400));
        assertEquals(outcome.get(), Outcome.UNKNOWN);
    }

    @Test
    public void refusesWithoutAnAppendWhileTheCircuitIsOpen() {
        refuse(100);
        submit(300);
        time.advanceTimeBy(Duration.ofMillis(250));
        int before = store.appends;
        assertEquals(submit(300).get(), Outcome.NOT_STORED);
        assertEquals(store.appends, before);
    }

    @Test
    public void probesTheStoreAfterAnInterval() {
        refuse(3);
        submit(300);
        time.advanceTimeBy(Duration.ofMillis(2000));
        assertEquals(submit(300).get(), Outcome.STORED);
    }

    @Test
    public void sendsWaitingEntriesWhenTheStoreRecovers() {
        store.silent = true;
        AtomicReference<Outcome> first = submit(3000);
        time.advanceTimeBy(Duration.ofMillis(100));
        AtomicReference<Outcome> second = submit(3000);
        store.silent = false;
        appender.storeRecovered();
        assertEquals(first.get(), Outcome.STORED);
        assertEquals(second.get(), Outcome.STORED);
    }

    @Test
    public void reportsUnknownForAnEntryResentAfterARecovery() {
        store.silent = true;
        AtomicReference<Outcome> outcome = submit(500);
        time.advanceTimeBy(Duration.ofMillis(100));
        store.silent = false;
        refuse(100);
        appender.storeRecovered();
        time.advanceTimeBy(Duration.ofMillis(3000));
        assertEquals(outcome.get(), Outcome.UNKNOWN);
    }

    @Test
    public void closesTheCircuitWhenTheStoreRecovers() {
        refuse(2);
        submit(10);
        submit(10);
        time.advanceTimeBy(Duration.ofMillis(130));
        assertEquals(submit(300).get(), Outcome.NOT_STORED);
        appender.storeRecovered();
        assertEquals(submit(300).get(), Outcome.STORED);
    }

    // Guards against callers whose entries the store rejects together, as one request with them is too large for it.
    @Test
    public void sendsLargeEntriesInSeveralRequests() {
        store.appendDelayMs = 10;
        int requestBytes = 2 * 1024 * 1024;
        int[] stored = new int[1];
        store.beforeAppend = () ->
                assertTrue(store.lastAppendBytes <= requestBytes, "request of " + store.lastAppendBytes + " bytes");
        for (int i = 0; i < 40; i++) {
            appender.store(new StreamStore.Entry("j/" + i, new byte[250_000]), nowMs() + 2000)
                    .subscribe(outcome -> stored[0] += outcome == Outcome.STORED ? 1 : 0);
        }
        time.advanceTimeBy(Duration.ofMillis(1000));
        assertEquals(stored[0], 40);
        assertEquals(store.entries.get(39).key(), "j/39");
    }

    // Guards against callers that wait until they give up, since the append of others lasts.
    @Test
    public void reportsInTimeWhileAnAppendLasts() {
        store.appendDelayMs = 2600;
        AtomicReference<Outcome> sent = submit(1000);
        AtomicReference<Outcome> waiting = submit(1000);
        time.advanceTimeBy(Duration.ofMillis(1700));
        assertEquals(sent.get(), Outcome.UNKNOWN);
        assertEquals(waiting.get(), Outcome.NOT_STORED);
        time.advanceTimeBy(Duration.ofMillis(6000));
        assertEquals(store.appends, 1);
    }
}
