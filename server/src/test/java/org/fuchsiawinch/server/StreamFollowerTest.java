package org.fuchsiawinch.server;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.stream.StreamFollower;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that a follower neither misses entries nor goes back to older ones if the store expires entries or fails. */
public class StreamFollowerTest {

    private static final String BAD_KEY = "bad";

    private VirtualTimeScheduler time;
    private FakeStore store;
    private List<String> received;
    private List<String> log;
    private StreamFollower follower;

    /** What the listener does when it receives the next entries. */
    private Runnable onNextEntries;

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
        received = new ArrayList<>();
        log = new ArrayList<>();
        onNextEntries = () -> {};
        follower = new StreamFollower(
                Stream.CELL,
                store,
                new StreamFollower.PollSettings(500, 100),
                time,
                () -> time.now(TimeUnit.MILLISECONDS),
                7,
                new RecordingListener(),
                (event, pairs) -> log.add(event));
    }

    private final class RecordingListener implements StreamFollower.Listener {

        @Override
        public void onSnapshot(List<StreamStore.StoredEntry> entries) {
            received.add("snapshot");
            onEntries(entries);
        }

        @Override
        public void onEntries(List<StreamStore.StoredEntry> entries) {
            if (entries.stream().anyMatch(stored -> stored.entry().key().equals(BAD_KEY))) {
                throw new IllegalStateException("entry on which the listener fails");
            }
            entries.forEach(stored -> received.add(
                    stored.entry().key() + "=" + new String(stored.entry().value(), StandardCharsets.UTF_8)));
            if (!entries.isEmpty()) {
                Runnable action = onNextEntries;
                onNextEntries = () -> {};
                action.run();
            }
        }

        @Override
        public void onCaughtUp() {
            // Not checked by these tests.
        }
    }

    private void advance(long ms) {
        time.advanceTimeBy(Duration.ofMillis(ms));
    }

    @Test
    public void receivesTheLatestEntriesAndThenTheFollowingOnes() {
        store.put("a", "1");
        store.put("a", "2");
        follower.start();
        store.put("b", "3");
        follower.catchUp().subscribe();
        assertEquals(received, List.of("snapshot", "a=2", "b=3"));
    }

    @Test
    public void receivesNoEntryTwice() {
        store.put("a", "1");
        follower.start();
        store.put("b", "2");
        follower.catchUp().subscribe();
        follower.catchUp().subscribe();
        assertEquals(received, List.of("snapshot", "a=1", "b=2"));
    }

    @Test
    public void loadsANewSnapshotAfterTheStoreExpiredEntries() {
        store.put("a", "1");
        follower.start();
        advance(100);
        store.down = true;
        advance(1000);
        store.put("a", "2");
        store.put("a", "3");
        store.firstRetained = 3;
        store.down = false;
        advance(2000);
        assertEquals(received, List.of("snapshot", "a=1", "snapshot", "a=3"));
        assertTrue(log.contains("dependency-lost"));
        assertTrue(log.contains("stream-expired"));
        assertTrue(log.contains("dependency-regained"));
    }

    @Test
    public void skipsEntriesOlderThanTheSnapshot() {
        store.put("a", "1");
        store.put("b", "1");
        store.snapshotEnd = 1;
        store.put("a", "2");
        follower.start();
        advance(700);
        assertEquals(received, List.of("snapshot", "b=1", "a=2"));
    }

    @Test
    public void retriesUntilTheStoreRecovers() {
        store.down = true;
        follower.start();
        advance(5000);
        assertEquals(received, List.of());
        store.put("a", "1");
        store.down = false;
        advance(2000);
        assertEquals(received, List.of("snapshot", "a=1"));
    }

    @Test
    public void detectsTheRecoveryOfASilentStoreQuickly() {
        follower.start();
        advance(1000);
        store.silent = true;
        advance(4000);
        store.silent = false;
        store.put("a", "1");
        advance(350);
        assertEquals(received, List.of("snapshot", "a=1"));
        assertTrue(log.contains("dependency-regained"));
    }

    @Test
    public void readsOneAtATimeAfterTheStoreRecovers() {
        follower.start();
        store.silent = true;
        advance(4000);
        store.silent = false;
        advance(2000);
        int before = store.reads;
        advance(5000);
        assertTrue(store.reads - before <= 11, store.reads - before + " reads in 5 s; each should wait 0.5 s");
    }

    @Test
    public void loadsOneSnapshotWhenSeveralReadsFindEntriesExpired() {
        store.put("a", "1");
        follower.start();
        store.silent = true;
        advance(4000);
        store.silent = false;
        store.answerDelayMs = 500;
        store.put("a", "2");
        store.put("a", "3");
        store.firstRetained = 3;
        advance(3000);
        assertEquals(received, List.of("snapshot", "a=1", "snapshot", "a=3"));
    }

    @Test
    public void measuresStalenessFromTheLastAnswer() {
        follower.start();
        store.down = true;
        advance(1500);
        assertEquals(follower.stalenessMs(time.now(TimeUnit.MILLISECONDS)), 1500);
    }

    // Guards against a node that stops following, and says nothing, after one entry on which its listener fails.
    @Test
    public void skipsAnEntryOnWhichTheListenerFailsAndGoesOn() {
        store.put("a", "1");
        follower.start();
        store.put("b", "2");
        store.put(BAD_KEY, "3");
        store.put("c", "4");
        advance(1000);
        store.put("d", "5");
        advance(1000);
        assertEquals(received, List.of("snapshot", "a=1", "b=2", "c=4", "d=5"));
        assertEquals(log, List.of("unexpected-failure", "unexpected-failure", "entry-skipped"));
    }

    // Guards against a node that never follows after it has met such an entry in its first snapshot.
    @Test
    public void skipsAnEntryOfTheSnapshotOnWhichTheListenerFails() {
        store.put("a", "1");
        store.put(BAD_KEY, "2");
        follower.start();
        store.put("b", "3");
        advance(1000);
        assertEquals(received, List.of("snapshot", "snapshot", "a=1", "b=3"));
    }

    // Guards against a follower that ends for good when a read fails in a way that the port does not allow.
    @Test
    public void loadsANewSnapshotAfterAnUnexpectedFailureOfARead() {
        store.put("a", "1");
        follower.start();
        store.nextReadFailure = new IllegalStateException("unexpected");
        advance(1000);
        store.put("b", "2");
        advance(2000);
        assertEquals(received, List.of("snapshot", "a=1", "snapshot", "a=1", "b=2"));
        assertTrue(log.contains("unexpected-failure"));
    }

    // Guards against good entries that are in use seconds late, behind many large ones of another writer.
    @Test
    public void readsOnWithoutAPauseWhileBehindTheEnd() {
        store.maxEntriesPerRead = 1;
        follower.start();
        advance(1000);
        for (int i = 0; i < 40; i++) {
            store.put("k", "" + i);
        }
        // The end of the long poll, and less than the pauses between 40 reads.
        advance(500 + 1000);
        assertTrue(received.contains("k=39"), received.toString());
    }

    // Guards against a follower that never loads a large cell from a store under load, as one failed page costs all.
    @Test
    public void loadsOnlyAFailedPageAgain() {
        for (int i = 0; i < 6; i++) {
            store.put("k" + i, "" + i);
        }
        store.maxEntriesPerPage = 2;
        store.failingPage = 3;
        follower.start();
        advance(1000);
        assertEquals(received, List.of("snapshot", "k0=0", "k1=1", "k2=2", "k3=3", "k4=4", "k5=5"));
        assertEquals(store.pages, 4);
    }

    // Guards against a store that answers, right after its outage, each of the reads that have found it silent.
    @Test
    public void givesUpTheOtherProbesOnceTheStoreAnswers() {
        follower.start();
        advance(1000);
        store.down = true;
        advance(600);
        store.down = false;
        store.answerDelayMs = 1000;
        advance(1300);
        assertTrue(log.contains("dependency-regained"), log.toString());
        assertTrue(store.cancelledReads >= 3, "reads given up " + store.cancelledReads);
    }

    // Guards against a follower that reads twice as often for good, as its listener has noticed a suspension.
    @Test
    public void readsOneAtATimeAfterItsListenerStartsItAgain() {
        follower.start();
        advance(1000);
        onNextEntries = follower::startAgain;
        store.put("a", "1");
        advance(2000);
        int before = store.reads;
        advance(5000);
        assertTrue(store.reads - before <= 11, store.reads - before + " reads in 5 s; each should wait 0.5 s");
        assertEquals(received, List.of("snapshot", "a=1", "snapshot", "a=1"));
    }
}
