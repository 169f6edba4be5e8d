package org.fuchsiawinch.document.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Accepted;
import org.fuchsiawinch.document.ledger.LedgerOutcome.BadSignature;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Conflict;
import org.fuchsiawinch.document.ledger.LedgerRecord.DeltaProposal;
import org.fuchsiawinch.document.ledger.LedgerRecord.Genesis;
import org.fuchsiawinch.document.ledger.LedgerRecord.Proposal;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks changes that contain only the changed part of a section. */
public final class SectionDeltaTest {

    private final DocumentLedger first = DocumentLedger.atLogStart()
            .apply(0, new Genesis(SampleProposals.TEXT))
            .ledger();
    private final Document base = first.current().orElseThrow();

    /** A delta restores the changed text for random edits, also after its replacement was encoded as UTF-8. */
    @Test
    public void restoresRandomEdits() {
        Random random = new Random(7);
        String[] alphabet = {"a", "b", "\n", "\ud83d\ude80", "\ud83d\ude81", "\uf680"};
        for (int round = 0; round < 2_000; round++) {
            String before = randomText(random, alphabet);
            String after = randomText(random, alphabet);
            SectionDelta delta = SectionDelta.between(before, after);
            String sent = new String(delta.replacement().getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
            SectionDelta received = new SectionDelta(delta.prefixLength(), delta.suffixLength(), sent);
            assertEquals(received.applyTo(before), Optional.of(after));
        }
    }

    /** A delta has the same effect as the whole proposal and contains only a small part of its text. */
    @Test
    public void hasTheEffectOfTheWholeProposal() {
        Proposal whole = SampleProposals.checkpoint(base, 30);
        DeltaProposal delta = whole.toDelta(base);
        assertTrue(delta.delta().replacement().length() < 8, delta.toString());
        LedgerStep step = first.apply(1, delta);
        assertEquals(step.outcome(), new Accepted(2));
        assertEquals(step.ledger().current(), first.apply(1, whole).ledger().current());
        assertEquals(step.ledger().apply(2, whole).outcome(), new Accepted(2));
    }

    /** A delta for another base is a conflict; one that was altered or keeps more than the base has is refused. */
    @Test
    public void refusesForeignDeltas() {
        DeltaProposal delta = SampleProposals.checkpoint(base, 30).toDelta(base);
        DocumentLedger moved =
                first.apply(1, SampleProposals.checkpoint(base, 40)).ledger();
        assertTrue(moved.apply(2, delta).outcome() instanceof Conflict);
        for (SectionDelta altered : new SectionDelta[] {
            new SectionDelta(delta.delta().prefixLength(), delta.delta().suffixLength(), "31"),
            new SectionDelta(Integer.MAX_VALUE, Integer.MAX_VALUE, ""),
            new SectionDelta(-1, 0, "")
        }) {
            DeltaProposal bad = new DeltaProposal("engineering", Section.CAPACITY, 1, altered, delta.signature());
            assertEquals(first.apply(1, bad).outcome(), new BadSignature("engineering", Section.CAPACITY));
        }
    }

    private static String randomText(Random random, String[] alphabet) {
        StringBuilder text = new StringBuilder();
        int length = random.nextInt(8);
        for (int i = 0; i < length; i++) {
            text.append(alphabet[random.nextInt(alphabet.length)]);
        }
        return text.toString();
    }
}
