package org.fuchsiawinch.document.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Adopted;
import org.fuchsiawinch.document.ledger.LedgerOutcome.AlreadyApplied;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Inconsistency;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Inconsistent;
import org.fuchsiawinch.document.ledger.LedgerOutcome.NotNewer;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Pending;
import org.fuchsiawinch.document.ledger.LedgerRecord.Genesis;
import org.fuchsiawinch.document.ledger.LedgerRecord.Proposal;
import org.fuchsiawinch.document.ledger.LedgerRecord.Republication;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Checks that readers that restart, join late, lose records or adopt copies from other nodes agree on the document, and
 * that their version never decreases.
 */
public final class LedgerConvergenceTest {

    private static final int SEEDS = 60;
    private static final int RECORDS = 24;

    /** A late reader adopts the republished state, then applies the pending records that the state does not reflect. */
    @Test
    public void appliesPendingRecordsThatTheCopyDoesNotReflect() {
        DocumentLedger full = DocumentLedger.atLogStart()
                .apply(0, new Genesis(SampleProposals.TEXT))
                .ledger();
        Republication copy = full.republication(5).orElseThrow();
        LedgerRecord change = SampleProposals.checkpoint(full.current().orElseThrow(), 30);
        DocumentLedger late = DocumentLedger.startingAt(6);
        LedgerStep waiting = late.apply(6, change);
        assertEquals(waiting.outcome(), new Pending());
        assertTrue(waiting.ledger().republication(6).isEmpty());
        Adopted adopted = (Adopted) waiting.ledger().apply(7, copy).outcome();
        assertEquals(adopted.version(), 1);
        assertEquals(adopted.resolved().get(0).outcome(), new LedgerOutcome.Accepted(2));
        DocumentLedger after = waiting.ledger().apply(7, copy).ledger();
        assertEquals(after.current(), full.apply(6, change).ledger().current());
    }

    /** A copy that ends before the reader's first record does not close the gap. */
    @Test
    public void keepsTheGapIfTheCopyEndsInsideIt() {
        DocumentLedger full = DocumentLedger.atLogStart()
                .apply(0, new Genesis(SampleProposals.TEXT))
                .ledger();
        Republication early = full.republication(4).orElseThrow();
        LedgerStep step = DocumentLedger.startingAt(6).apply(7, early);
        assertEquals(step.ledger().version(), 1);
        assertTrue(step.ledger().hasGap());
        LedgerStep covered = step.ledger().apply(8, full.republication(5).orElseThrow());
        assertTrue(!covered.ledger().hasGap());
    }

    /** A reader that loses records keeps its version in force and does not adopt an older one. */
    @Test
    public void neverAdoptsAnOlderVersion() {
        DocumentLedger one = DocumentLedger.atLogStart()
                .apply(0, new Genesis(SampleProposals.TEXT))
                .ledger();
        Republication old = one.republication(0).orElseThrow();
        DocumentLedger two = one.apply(
                        1, SampleProposals.checkpoint(one.current().orElseThrow(), 30))
                .ledger();
        DocumentLedger gap = two.resumingAt(50);
        assertEquals(gap.version(), 2);
        assertEquals(gap.apply(51, old).outcome(), new NotNewer(2));
        assertEquals(gap.adopt(old).ledger().version(), 2);
        assertEquals(gap.apply(52, new Genesis(SampleProposals.TEXT)).outcome(), new Pending());
    }

    /**
     * While the log is unavailable, a node adopts the newer state of a peer; later it skips the records that this state
     * reflects.
     */
    @Test
    public void adoptsTheNewerStateOfAPeer() {
        DocumentLedger one = DocumentLedger.atLogStart()
                .apply(0, new Genesis(SampleProposals.TEXT))
                .ledger();
        LedgerRecord change = SampleProposals.checkpoint(one.current().orElseThrow(), 30);
        DocumentLedger peer = one.apply(7, change).ledger();
        LedgerStep step = one.adopt(peer.republication(9).orElseThrow());
        assertEquals(step.outcome(), new Adopted(2, List.of()));
        assertEquals(step.ledger().apply(7, change).outcome(), new AlreadyApplied());
        assertEquals(step.ledger().apply(8, new Genesis(SampleProposals.TEXT)).outcome(), new AlreadyApplied());
    }

    /** Copies that contradict themselves or the log are refused, with the kind of contradiction. */
    @Test
    public void refusesInconsistentCopies() {
        DocumentLedger one = DocumentLedger.atLogStart()
                .apply(0, new Genesis(SampleProposals.TEXT))
                .ledger();
        Republication good = one.republication(0).orElseThrow();
        String other = SampleProposals.TEXT.replace("FJD", "EUR");
        String otherDigest = one.current().orElseThrow().digest();
        assertInconsistent(one, 9, new Republication(2, other, otherDigest, 5), Inconsistency.DIGEST_MISMATCH);
        Republication forged = copyOf(other, 2, 5);
        assertInconsistent(one, 9, forged, Inconsistency.VERSION_NOT_IN_LOG);
        assertInconsistent(one, 9, copyOf(other, 1, 5), Inconsistency.SAME_VERSION_OTHER_TEXT);
        assertInconsistent(one, 9, copyOf(other, 2, 9), Inconsistency.OFFSET_IN_FUTURE);
        assertInconsistent(DocumentLedger.startingAt(4), 9, copyOf("teams: 1\n", 2, 8), Inconsistency.INVALID_TEXT);
        assertEquals(one.apply(9, good).outcome(), new NotNewer(1));
    }

    /** Over seeded random logs with conflicts, repeated records and copies, all readers agree on the document. */
    @Test
    public void convergesOverSeededLogs() {
        int versions = 0;
        int lateReaders = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<LedgerRecord> log = randomLog(random);
            DocumentLedger reference = DocumentLedger.atLogStart();
            List<DocumentLedger> states = new ArrayList<>();
            for (int offset = 0; offset < log.size(); offset++) {
                reference = reference.apply(offset, log.get(offset)).ledger();
                states.add(reference);
            }
            versions += reference.version();
            lateReaders += checkReader(seed, random, log, states) ? 1 : 0;
        }
        assertTrue(versions > 3 * SEEDS, "too few versions: " + versions);
        assertTrue(lateReaders > SEEDS / 4, "too few readers closed their gap: " + lateReaders);
    }

    private static boolean checkReader(int seed, Random random, List<LedgerRecord> log, List<DocumentLedger> states) {
        int start = 1 + random.nextInt(RECORDS / 2);
        DocumentLedger reader = random.nextBoolean()
                ? DocumentLedger.startingAt(start)
                : states.get(random.nextInt(start)).resumingAt(start);
        boolean gapClosed = false;
        int version = reader.version();
        for (int offset = start; offset < log.size(); offset++) {
            if (random.nextInt(8) == 0) {
                int through = random.nextInt(offset);
                reader = reader.adopt(states.get(through).republication(through).orElseThrow())
                        .ledger();
            }
            reader = reader.apply(offset, log.get(offset)).ledger();
            assertTrue(reader.version() >= version, "seed " + seed + " went back at offset " + offset);
            version = reader.version();
            if (!reader.hasGap()) {
                gapClosed = true;
                assertEquals(
                        reader.current().map(Document::text),
                        states.get(offset).current().map(Document::text),
                        "seed " + seed + " offset " + offset);
                assertEquals(reader.version(), states.get(offset).version(), "seed " + seed + " offset " + offset);
            }
        }
        return gapClosed;
    }

    private static List<LedgerRecord> randomLog(Random random) {
        List<LedgerRecord> log = new ArrayList<>();
        List<DocumentLedger> states = new ArrayList<>();
        DocumentLedger ledger = DocumentLedger.atLogStart();
        log.add(new Genesis(SampleProposals.TEXT));
        while (log.size() < RECORDS) {
            ledger = ledger.apply(log.size() - 1, log.get(log.size() - 1)).ledger();
            states.add(ledger);
            int lag = Math.min(states.size() - 1, random.nextInt(3));
            DocumentLedger author = states.get(states.size() - 1 - lag);
            log.add(randomRecord(random, author, states.size() - 1 - lag, log));
        }
        return log;
    }

    private static LedgerRecord randomRecord(
            Random random, DocumentLedger author, int through, List<LedgerRecord> log) {
        Document base = author.current().orElseThrow();
        int kind = random.nextInt(7);
        if (kind == 0) {
            return new Genesis(SampleProposals.TEXT);
        }
        if (kind == 1) {
            return log.get(random.nextInt(log.size()));
        }
        if (kind == 2) {
            return author.republication(through).orElseThrow();
        }
        Proposal proposal = kind < 5
                ? SampleProposals.checkpoint(base, 1 + random.nextInt(80))
                : SampleProposals.planLimit(base, random.nextInt(9_000));
        return random.nextBoolean() ? proposal : proposal.toDelta(base);
    }

    private static Republication copyOf(String text, int version, long through) {
        return new Republication(version, text, org.fuchsiawinch.document.internal.Digests.sha256Hex(text), through);
    }

    private static void assertInconsistent(
            DocumentLedger ledger, long offset, Republication copy, Inconsistency reason) {
        LedgerStep step = ledger.apply(offset, copy);
        assertEquals(step.outcome(), new Inconsistent(reason));
        assertEquals(step.ledger().version(), ledger.version());
    }
}
