package org.fuchsiawinch.workflow;

import java.util.List;

import org.fuchsiawinch.workflow.cell.Election;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Guards against takeovers of a live owner, for example after an outage of the store, and against missed takeovers. */
public class ElectionTest {

    private static final long TAKEOVER_MS = 2000;

    private static Election electionOwnedBy(String owner) {
        Election election = new Election("me", 500, false, 0);
        election.apply(new CellRecord.Owner(owner, 70_000, false), 0);
        election.streamEndReached(0);
        return election;
    }

    private static void readEvery(Election election, long stepMs, long fromMs, long toMs) {
        for (long ms = fromMs; ms <= toMs; ms += stepMs) {
            election.streamEndReached(ms);
        }
    }

    @Test
    public void claimsAfterSilenceObservedWhileReading() {
        Election election = electionOwnedBy("other");
        readEvery(election, 500, 0, 1000);
        assertFalse(election.epochToClaim(1000).isPresent());
        readEvery(election, 500, 1500, TAKEOVER_MS);
        assertTrue(election.epochToClaim(TAKEOVER_MS).isPresent());
    }

    @Test
    public void claimsHigherEpochsDistinctPerNode() {
        Election first = electionOwnedBy("other");
        Election second = new Election("you", 501, false, 0);
        second.apply(new CellRecord.Owner("other", 70_000, false), 0);
        readEvery(first, 500, 0, TAKEOVER_MS);
        readEvery(second, 500, 0, TAKEOVER_MS);
        long claimed = first.epochToClaim(TAKEOVER_MS).orElseThrow();
        assertTrue(claimed > 70_000);
        assertNotEquals(claimed, second.epochToClaim(TAKEOVER_MS).orElseThrow());
    }

    @Test
    public void storeOutageTriggersNoTakeover() {
        Election election = electionOwnedBy("other");
        assertFalse(election.epochToClaim(60_000).isPresent());
        election.streamEndReached(60_000);
        assertFalse(election.epochToClaim(60_000).isPresent());
        election.apply(new CellRecord.Owner("other", 70_000, false), 60_500);
        readEvery(election, 500, 60_500, 61_000);
        assertFalse(election.epochToClaim(61_000).isPresent());
    }

    @Test
    public void claimsAtOnceAfterRelease() {
        Election election = electionOwnedBy("other");
        election.apply(new CellRecord.Owner("other", 70_000, true), 100);
        election.streamEndReached(200);
        assertTrue(election.epochToClaim(200).isPresent());
        assertEquals(election.owner(), "");
    }

    @Test
    public void claimsAtOnceWhatThisNodeOwnedBeforeItsRestart() {
        Election election = electionOwnedBy("me");
        election.streamEndReached(100);
        assertTrue(election.epochToClaim(100).isPresent());
    }

    @Test
    public void ignoresClaimsOfOlderEpochs() {
        Election election = electionOwnedBy("other");
        election.apply(new CellRecord.Owner("stale", 60_000, true), 100);
        election.streamEndReached(200);
        assertFalse(election.epochToClaim(200).isPresent());
        assertEquals(election.owner(), "other");
    }

    /** Guards against a cell whose owner is too small to contact its workers in time although larger nodes are there. */
    @Test
    public void smallNodeLeavesTheCellToLargerOnes() {
        Election small = new Election("me", 0, true, 0);
        Election large = new Election("you", 999, false, 0);
        for (Election election : List.of(small, large)) {
            election.apply(new CellRecord.Owner("other", 70_000, false), 0);
            readEvery(election, 100, 0, 2300);
        }
        assertTrue(large.epochToClaim(2300).isPresent());
        assertTrue(small.epochToClaim(2300).isEmpty());
        readEvery(small, 100, 2300, 2900);
        assertTrue(small.epochToClaim(2900).isPresent());
    }

    /** Reads the stream every 100 ms in a range and applies a heartbeat of the owner at given intervals. */
    private static void heartbeats(
            Election election, String owner, long epoch, long intervalMs, long fromMs, long toMs) {
        for (long ms = fromMs; ms <= toMs; ms += 100) {
            if ((ms - fromMs) % intervalMs == 0) {
                election.apply(new CellRecord.Owner(owner, epoch, false), ms);
            }
            election.streamEndReached(ms);
        }
    }

    /** Returns after how many ms of silence from a time on the node claims, reading every 100 ms. */
    private static long claimDelayMs(Election election, long fromMs) {
        long ms = fromMs;
        while (election.epochToClaim(ms).isEmpty()) {
            ms += 100;
            election.streamEndReached(ms);
        }
        return ms - fromMs;
    }

    private static Election following() {
        Election election = new Election("me", 0, false, 0);
        election.apply(new CellRecord.Owner("other", 70_000, false), 0);
        election.streamEndReached(0);
        return election;
    }

    /** Guards against a claim before the end of a longer term, up to which the owner orders starts. */
    @Test
    public void waitsForTheTermThatTheOwnerHasAnnounced() {
        Election election = following();
        heartbeats(election, "other", 70_000, 400, 0, 30_000);
        election.apply(new CellRecord.Owner("other", 70_000, false, 2400), 30_100);
        election.streamEndReached(30_100);
        assertEquals(claimDelayMs(election, 30_100), 2400);
        election.apply(new CellRecord.Owner("other", 70_000, false), 32_600);
        election.streamEndReached(32_600);
        readEvery(election, 100, 32_600, 33_700);
        assertTrue(election.epochToClaim(33_700).isEmpty());
    }

    /** Guards against a time-out that stays long on a calm system. */
    @Test
    public void claimsAfterTheShortestTimeoutOnACalmSystem() {
        Election election = following();
        heartbeats(election, "other", 70_000, 500, 100, 5100);
        assertEquals(claimDelayMs(election, 5100), 1200);
    }

    /** Guards against claims in quick succession on machines where each owner is slow. */
    @Test
    public void waitsLongerForAnOwnerWithLongIntervals() {
        Election election = following();
        heartbeats(election, "other", 70_000, 1100, 100, 4500);
        assertEquals(claimDelayMs(election, 4500), 1700);
        heartbeats(election, "other", 70_000, 400, 4500, 26_900);
        assertEquals(claimDelayMs(election, 26_900), 1200);
    }

    /** Guards against a claim of a cell whose new owner has not had the time to load it. */
    @Test
    public void givesANewOwnerTimeForItsFirstSignOfLife() {
        Election election = following();
        heartbeats(election, "other", 70_000, 400, 100, 2100);
        election.apply(new CellRecord.Owner("third", 140_000, false), 2200);
        assertEquals(claimDelayMs(election, 2200), 2400);
        heartbeats(election, "third", 140_000, 400, 4600, 8600);
        assertTrue(claimDelayMs(election, 8600) > 1200);
        heartbeats(election, "third", 140_000, 400, 11_000, 34_200);
        assertEquals(claimDelayMs(election, 34_200), 1200);
    }

    /** Guards against owners that are each missed before the load of a take-over has passed. */
    @Test
    public void waitsLongerWhileOwnersAreMissedInQuickSuccession() {
        Election election = following();
        long epoch = 70_000;
        for (long ms = 2000; ms <= 12_000; ms += 2000) {
            epoch += 70_000;
            heartbeats(election, "n" + ms, epoch, 400, ms, ms + 400);
        }
        assertEquals(claimDelayMs(election, 12_400), 4800);
        heartbeats(election, "n12000", epoch, 400, 17_200, 40_000);
        assertEquals(claimDelayMs(election, 40_000), 1200);
    }

    /** Guards against planned stops of one owner after the other that lengthen the time-out. */
    @Test
    public void releasesDoNotLengthenTheTimeout() {
        Election election = following();
        long epoch = 70_000;
        for (long ms = 2000; ms <= 8000; ms += 2000) {
            election.apply(new CellRecord.Owner(election.owner(), epoch, true), ms - 100);
            epoch += 70_000;
            heartbeats(election, "n" + ms, epoch, 400, ms, ms + 1600);
        }
        assertEquals(claimDelayMs(election, 9600), 1200);
    }

    /** Guards against a slow node that takes the cell although a faster one would. */
    @Test
    public void aNodeThatIsLateClaimsLater() {
        Election election = following();
        heartbeats(election, "other", 70_000, 400, 100, 2100);
        election.delayed(900, 2100);
        assertEquals(claimDelayMs(election, 2100), 2100);
        election.delayed(60_000, 4200);
        heartbeats(election, "other", 70_000, 400, 4200, 5000);
        assertEquals(claimDelayMs(election, 5000), 4800);
    }

    /** Guards against a claim right after an outage of the store, while the owner regains its connection. */
    @Test
    public void givesTheOwnerTimeAfterAnOutageOfTheStore() {
        Election election = following();
        heartbeats(election, "other", 70_000, 400, 100, 2100);
        election.streamEndReached(6000);
        assertEquals(claimDelayMs(election, 6000), 2400);
    }

    /** Guards against a claim of a live owner whose last records only remove ended jobs. */
    @Test
    public void removalsAreSignsOfLifeOfTheOwner() {
        Election election = following();
        heartbeats(election, "other", 70_000, 400, 100, 2100);
        election.apply(new CellRecord.Removed("s/0123456789abcdef"), 3100);
        election.streamEndReached(3100);
        election.streamEndReached(3400);
        assertTrue(election.epochToClaim(3400).isEmpty());
    }

    /** Guards against a dead owner that is never missed because each read of a slow store takes too long. */
    @Test
    public void missesADeadOwnerThoughEachReadComesAfterAGap() {
        Election election = following();
        heartbeats(election, "other", 70_000, 400, 100, 2100);
        long nowMs = 2100;
        while (election.epochToClaim(nowMs).isEmpty()) {
            assertTrue(nowMs < 20_000, "no claim");
            nowMs += 1500;
            election.streamEndReached(nowMs);
        }
        assertTrue(nowMs > 2100 + 3 * 1500, "claim after " + (nowMs - 2100) + " ms");
    }

    /** Guards against a claim of an owner that the store kept from writing twice in succession. */
    @Test
    public void givesTheOwnerTimeAfterEachOutageThatItSurvives() {
        Election election = following();
        heartbeats(election, "other", 70_000, 400, 100, 2100);
        election.streamEndReached(6000);
        heartbeats(election, "other", 70_000, 400, 6100, 6900);
        election.streamEndReached(11_000);
        assertEquals(claimDelayMs(election, 11_000), 2400);
    }
}
