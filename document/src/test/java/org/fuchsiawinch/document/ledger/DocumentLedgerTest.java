package org.fuchsiawinch.document.ledger;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Accepted;
import org.fuchsiawinch.document.ledger.LedgerOutcome.BadSignature;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Conflict;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Invalid;
import org.fuchsiawinch.document.ledger.LedgerOutcome.NotOwner;
import org.fuchsiawinch.document.ledger.LedgerRecord.Genesis;
import org.fuchsiawinch.document.ledger.LedgerRecord.Proposal;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Checks which proposals the fold accepts. */
public final class DocumentLedgerTest {

    private final DocumentLedger first = DocumentLedger.atLogStart()
            .apply(0, new Genesis(SampleProposals.TEXT))
            .ledger();
    private final Document base = first.current().orElseThrow();

    /** A second founding record is a conflict; the document of the first one stays in force. */
    @Test
    public void acceptsOnlyTheFirstFoundingRecord() {
        assertEquals(first.version(), 1);
        LedgerStep second = first.apply(1, new Genesis(SampleProposals.TEXT.replace("FJD", "EUR")));
        assertEquals(second.outcome(), new Conflict(1, SampleProposals.TEXT));
        assertEquals(second.ledger().current().orElseThrow().currency(), "FJD");
    }

    /** An invalid first document is refused as a whole; no document is in force. */
    @Test
    public void refusesAnInvalidFirstDocument() {
        LedgerStep step = DocumentLedger.atLogStart().apply(0, new Genesis("teams: 1\n"));
        assertTrue(step.outcome() instanceof Invalid, step.toString());
        assertEquals(step.ledger().version(), 0);
    }

    /** Of two changes based on the same version the first in log order wins; the other author receives the new text. */
    @Test
    public void resolvesConflictsByLogOrder() {
        LedgerStep engineering = first.apply(1, SampleProposals.checkpoint(base, 30));
        assertEquals(engineering.outcome(), new Accepted(2));
        LedgerStep finance = engineering.ledger().apply(2, SampleProposals.planLimit(base, 100));
        String inForce = engineering.ledger().current().orElseThrow().text();
        assertEquals(finance.outcome(), new Conflict(2, inForce));
        assertTrue(inForce.contains("checkpoint: 30s"));
        LedgerStep retried = finance.ledger()
                .apply(
                        3,
                        SampleProposals.planLimit(engineering.ledger().current().get(), 100));
        assertEquals(retried.outcome(), new Accepted(3));
        Document merged = retried.ledger().current().orElseThrow();
        assertEquals(merged.policy().version(), 3);
        assertEquals(merged.policy().lending().checkpointMs(), 30_000L);
        assertTrue(merged.text().contains("plans: {amount: 100"));
    }

    /**
     * A proposal may be appended twice because the reply to the first append was lost. It creates one version, and both
     * records are reported as accepted.
     */
    @Test
    public void createsOneVersionForARepeatedProposal() {
        Proposal proposal = SampleProposals.checkpoint(base, 30);
        DocumentLedger once = first.apply(1, proposal).ledger();
        LedgerStep twice = once.apply(2, proposal);
        assertEquals(twice.outcome(), new Accepted(2));
        assertEquals(twice.ledger().version(), 2);
        assertEquals(twice.ledger().history().size(), 2);
    }

    /** A proposal whose text, base, section or author was changed after signing is refused. */
    @Test
    public void refusesTamperedProposals() {
        Proposal signed = SampleProposals.checkpoint(base, 30);
        Proposal otherText = new Proposal(
                signed.team(), signed.section(), 1, signed.sectionText().replace("30s", "31s"), signed.signature());
        assertEquals(first.apply(1, otherText).outcome(), new BadSignature("engineering", Section.CAPACITY));
        Proposal otherSection =
                new Proposal("engineering", Section.OBJECTIVE, 1, signed.sectionText(), signed.signature());
        assertEquals(first.apply(1, otherSection).outcome(), new BadSignature("engineering", Section.OBJECTIVE));
        Proposal noSignature = new Proposal(signed.team(), signed.section(), 1, signed.sectionText(), "?");
        assertEquals(first.apply(1, noSignature).outcome(), new BadSignature("engineering", Section.CAPACITY));
        Proposal otherTeam = new Proposal("finance", Section.CAPACITY, 1, signed.sectionText(), signed.signature());
        assertEquals(first.apply(1, otherTeam).outcome(), new NotOwner("finance", Section.CAPACITY));
        DocumentLedger moved =
                first.apply(1, SampleProposals.checkpoint(base, 40)).ledger();
        Proposal otherBase = new Proposal(signed.team(), signed.section(), 2, signed.sectionText(), signed.signature());
        assertEquals(moved.apply(2, otherBase).outcome(), new BadSignature("engineering", Section.CAPACITY));
    }

    /** A proposal signed for another installation's document of the same version is refused. */
    @Test
    public void refusesASignatureForAnotherInstallation() {
        Document elsewhere = DocumentLedger.atLogStart()
                .apply(0, new Genesis(SampleProposals.TEXT.replace("FJD", "EUR")))
                .ledger()
                .current()
                .orElseThrow();
        Proposal foreign = SampleProposals.checkpoint(elsewhere, 30);
        assertEquals(first.apply(1, foreign).outcome(), new BadSignature("engineering", Section.CAPACITY));
    }

    /** A team that signs a change of another team's section is refused. */
    @Test
    public void refusesASectionOfAnotherOwner() {
        Proposal raise = SampleProposals.signer("engineering")
                .sign(
                        "engineering",
                        base,
                        Section.SPENDING,
                        SampleProposals.planLimit(base, 1).sectionText());
        LedgerStep step = first.apply(1, raise);
        assertEquals(step.outcome(), new NotOwner("engineering", Section.SPENDING));
        assertEquals(step.ledger().version(), 1);
    }

    /** A change that makes the document invalid is refused as a whole; problems have line numbers of the whole text. */
    @Test
    public void keepsTheDocumentInForceIfTheNewOneIsInvalid() {
        String text = base.sectionTexts().get(Section.CAPACITY).replace("    forecasts:\n", "    outlook:\n");
        Proposal proposal = SampleProposals.signer("engineering").sign("engineering", base, Section.CAPACITY, text);
        LedgerStep step = first.apply(1, proposal);
        Invalid invalid = (Invalid) step.outcome();
        assertTrue(invalid.problems().stream()
                .anyMatch(problem -> problem.field().equals("spending.limits.forecasts")
                        && problem.code() == ProblemCode.UNKNOWN_REFERENCE
                        && SampleProposals.TEXT
                                .lines()
                                .toList()
                                .get(problem.line() - 1)
                                .contains("forecasts: {amount")));
        assertSame(step.ledger().current().orElseThrow(), base);
    }

    /** A section's new text cannot add or change lines of another section. */
    @Test
    public void refusesATextThatChangesAnotherSection() {
        String objective = base.sectionTexts().get(Section.OBJECTIVE);
        for (String text : new String[] {
            objective + "spending:\n  currency: FJD\n",
            objective + "\n# Comment that would belong to the next section\n",
            objective.stripTrailing()
        }) {
            Proposal proposal =
                    SampleProposals.signer("engineering").sign("engineering", base, Section.OBJECTIVE, text);
            assertTrue(first.apply(1, proposal).outcome() instanceof Invalid, text);
        }
    }

    /** A proposal that changes nothing creates no version. */
    @Test
    public void refusesAnUnchangedSection() {
        Invalid invalid =
                (Invalid) first.apply(1, SampleProposals.checkpoint(base, 20)).outcome();
        assertEquals(invalid.problems().get(0).code(), ProblemCode.UNCHANGED);
    }

    /** A replaced key is valid from the next version on, and the old key no longer is. */
    @Test
    public void appliesReplacedKeysFromTheNextVersion() {
        String finance = base.text().lines().toList().get(9).strip();
        String office = base.text().lines().toList().get(3).strip();
        String teams = base.sectionTexts().get(Section.TEAMS).replace(finance, office);
        Proposal replace = SampleProposals.signer("office").sign("office", base, Section.TEAMS, teams);
        DocumentLedger replaced = first.apply(1, replace).ledger();
        assertEquals(replaced.version(), 2);
        Document next = replaced.current().orElseThrow();
        assertEquals(
                replaced.apply(2, SampleProposals.planLimit(next, 1)).outcome(),
                new BadSignature("finance", Section.SPENDING));
        Proposal byNewKey = SampleProposals.signer("office")
                .sign(
                        "finance",
                        next,
                        Section.SPENDING,
                        SampleProposals.planLimit(next, 1).sectionText());
        assertEquals(replaced.apply(2, byNewKey).outcome(), new Accepted(3));
    }

    /** Reading a file without a private key fails with an exception that names the file. */
    @Test
    public void namesTheUnreadableKeyFile() {
        UnreadableKeyException error =
                org.testng.Assert.expectThrows(UnreadableKeyException.class, () -> SectionSigner.ofPem("a.pem", "x"));
        assertTrue(error.getMessage().startsWith("a.pem "));
        assertThrows(UnreadableKeyException.class, () -> SectionSigner.ofPem("a.pem", ""));
    }
}
