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
}
