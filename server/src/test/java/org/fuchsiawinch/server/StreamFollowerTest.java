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

    private VirtualTimeScheduler time;
    private FakeStore store;
    private List<String> seen;
    private List<String> log;
    private StreamFollower follower;

    @BeforeMethod
    public void create() {
        time = VirtualTimeScheduler.create();
        store = new FakeStore(time);
        seen = new ArrayList<>();
        log = new ArrayList<>();
        follower = new StreamFollower(
                Stream.CELL,
                store,
                new StreamFollower.PollSettings(500, 100),
                time,
                () -> time.now(TimeUnit.MILLISECONDS),
                7,
                new Seen(),
                (event, pairs) -> log.add(event));
    }

    private final class Seen implements StreamFollower.Listener {

        @Override
        public void onSnapshot(List<StreamStore.StoredEntry> entries) {
            seen.add("snapshot");
            onEntries(entries);
        }

        @Override
        public void onEntries(List<StreamStore.StoredEntry> entries) {
            entries.forEach(stored -> seen.add(
                    stored.entry().key() + "=" + new String(stored.entry().value(), StandardCharsets.UTF_8)));
        }

        @Override
        public void onCaughtUp() {
            // Not checked by these tests.
        }
    }

    private void pass(long ms) {
        time.advanceTimeBy(Duration.ofMillis(ms));
    }

    @Test
    public void takesTheNewestAndThenWhatFollows() {
        store.put("a", "1");
        store.put("a", "2");
        follower.start();
        store.put("b", "3");
        follower.catchUp().subscribe();
        assertEquals(seen, List.of("snapshot", "a=2", "b=3"));
    }

    @Test
    public void takesNothingTwice() {
        store.put("a", "1");
        follower.start();
        store.put("b", "2");
        follower.catchUp().subscribe();
        follower.catchUp().subscribe();
        assertEquals(seen, List.of("snapshot", "a=1", "b=2"));
    }

    @Test
    public void startsOverWhenTheStoreForgot() {
        store.put("a", "1");
        follower.start();
        pass(100);
        store.down = true;
        pass(1000);
        store.put("a", "2");
        store.put("a", "3");
        store.firstKept = 3;
        store.down = false;
        pass(2000);
        assertEquals(seen, List.of("snapshot", "a=1", "snapshot", "a=3"));
        assertTrue(log.contains("dependency-lost"));
        assertTrue(log.contains("stream-expired"));
        assertTrue(log.contains("dependency-regained"));
    }

    @Test
    public void anOlderEntryNeverFollowsANewerOne() {
        store.put("a", "1");
        store.put("b", "1");
        store.snapshotEnd = 1;
        store.put("a", "2");
        follower.start();
        pass(700);
        assertEquals(seen, List.of("snapshot", "b=1", "a=2"));
    }

    @Test
    public void retriesUntilTheStoreIsBack() {
        store.down = true;
        follower.start();
        pass(5000);
        assertEquals(seen, List.of());
        store.put("a", "1");
        store.down = false;
        pass(2000);
        assertEquals(seen, List.of("snapshot", "a=1"));
    }

    @Test
    public void noticesSoonThatASilentStoreIsBack() {
        follower.start();
        pass(1000);
        store.silent = true;
        pass(4000);
        store.silent = false;
        store.put("a", "1");
        pass(350);
        assertEquals(seen, List.of("snapshot", "a=1"));
        assertTrue(log.contains("dependency-regained"));
    }

    @Test
    public void goesOnWithOneReadAtATimeAfterTheStoreIsBack() {
        follower.start();
        store.silent = true;
        pass(4000);
        store.silent = false;
        pass(2000);
        int before = store.reads;
        pass(5000);
        assertTrue(store.reads - before <= 11, store.reads - before + " reads in 5 s, each of which waits 0.5 s");
    }

    @Test
    public void startsOverOnceWhenSeveralReadsFindThatTheStoreForgot() {
        store.put("a", "1");
        follower.start();
        store.silent = true;
        pass(4000);
        store.silent = false;
        store.answerMs = 500;
        store.put("a", "2");
        store.put("a", "3");
        store.firstKept = 3;
        pass(3000);
        assertEquals(seen, List.of("snapshot", "a=1", "snapshot", "a=3"));
    }

    @Test
    public void countsItsAgeFromTheLastAnswer() {
        follower.start();
        store.down = true;
        pass(1500);
        assertEquals(follower.stalenessMs(time.now(TimeUnit.MILLISECONDS)), 1500);
    }
}
