package org.fuchsiawinch.workflow;

import org.fuchsiawinch.workflow.cell.Election;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Guards against takeovers of a live owner, for example after an outage of the store, and against missed takeovers. */
public class ElectionTest {

    private static final long SILENT_MS = 2000;

    private static Election owned(String owner) {
        Election election = new Election("me", 500, 0);
        election.apply(new CellRecord.Owner(owner, 70_000, false), 0);
        election.readToEnd(0);
        return election;
    }

    private static void readEvery(Election election, long stepMs, long fromMs, long toMs) {
        for (long ms = fromMs; ms <= toMs; ms += stepMs) {
            election.readToEnd(ms);
        }
    }

    @Test
    public void claimsAfterSilenceThatItHasRead() {
        Election election = owned("other");
        readEvery(election, 500, 0, 1000);
        assertFalse(election.epochToClaim(1000).isPresent());
        readEvery(election, 500, 1500, SILENT_MS);
        assertTrue(election.epochToClaim(SILENT_MS).isPresent());
    }

    @Test
    public void claimsAHigherEpochThatDiffersBetweenNodes() {
        Election first = owned("other");
        Election second = new Election("you", 501, 0);
        second.apply(new CellRecord.Owner("other", 70_000, false), 0);
        readEvery(first, 500, 0, SILENT_MS);
        readEvery(second, 500, 0, SILENT_MS);
        long claimed = first.epochToClaim(SILENT_MS).orElseThrow();
        assertTrue(claimed > 70_000);
        assertNotEquals(claimed, second.epochToClaim(SILENT_MS).orElseThrow());
    }

    @Test
    public void anOutageOfTheStoreMakesNobodyTakeOver() {
        Election election = owned("other");
        assertFalse(election.epochToClaim(60_000).isPresent());
        election.readToEnd(60_000);
        assertFalse(election.epochToClaim(60_000).isPresent());
        election.apply(new CellRecord.Owner("other", 70_000, false), 60_500);
        readEvery(election, 500, 60_500, 61_000);
        assertFalse(election.epochToClaim(61_000).isPresent());
    }

    @Test
    public void claimsAtOnceAfterARelease() {
        Election election = owned("other");
        election.apply(new CellRecord.Owner("other", 70_000, true), 100);
        election.readToEnd(200);
        assertTrue(election.epochToClaim(200).isPresent());
        assertEquals(election.owner(), "");
    }

    @Test
    public void claimsAtOnceWhatAnEarlierLifeOfThisNodeOwned() {
        Election election = owned("me");
        election.readToEnd(100);
        assertTrue(election.epochToClaim(100).isPresent());
    }

    @Test
    public void anOlderClaimChangesNothing() {
        Election election = owned("other");
        election.apply(new CellRecord.Owner("stale", 60_000, true), 100);
        election.readToEnd(200);
        assertFalse(election.epochToClaim(200).isPresent());
        assertEquals(election.owner(), "other");
    }
}
