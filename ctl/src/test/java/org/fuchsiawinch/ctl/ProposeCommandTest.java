package org.fuchsiawinch.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.fuchsiawinch.document.Section;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks how proposals are signed, repeated and refused. */
public final class ProposeCommandTest {

    private static final String FINANCE_KEY = "../samples/lagilagi/keys/finance.sample.pem";

    private FakeNode node;
    private Path base;
    private Path edited;

    @BeforeMethod
    void takeFiles() throws IOException {
        node = new FakeNode();
        base = Files.createTempFile("base", ".yaml");
        edited = Files.createTempFile("edited", ".yaml");
        Files.writeString(base, node.current().text());
        Files.writeString(edited, node.current().text().replace("amount: 9000.00", "amount: 100"));
    }

    @AfterMethod
    void removeFiles() throws IOException {
        Files.delete(base);
        Files.delete(edited);
    }

    /** A change of a section in force is accepted. */
    @Test
    public void proposesTheSection() {
        CtlRun run = propose(FINANCE_KEY);
        assertEquals(run.status(), 0, run.err());
        assertEquals(run.out(), "outcome  accepted\nversion  2\n");
        assertTrue(node.current().text().contains("amount: 100,"));
    }

    /** A rival's change of another section, even between read and proposal, leads to a new signature, not a loss. */
    @Test
    public void signsAgainWhenAnotherSectionChanged() {
        node.change("engineering", Section.CAPACITY, "checkpoint: 20s", "checkpoint: 25s");
        node.beforeNextProposal(
                () -> node.change("engineering", Section.CAPACITY, "checkpoint: 25s", "checkpoint: 30s"));
        CtlRun run = propose(FINANCE_KEY);
        assertEquals(run.status(), 0, run.err());
        assertEquals(node.current().version(), 4);
        assertTrue(node.current().text().contains("checkpoint: 30s"));
        assertTrue(node.current().text().contains("amount: 100,"));
    }

    /** A second call, as after a lost answer, makes no second version and succeeds. */
    @Test
    public void succeedsWhenTheSectionIsInForceAlready() {
        propose(FINANCE_KEY);
        CtlRun again = propose(FINANCE_KEY);
        assertEquals(again.status(), 0, again.err());
        assertEquals(again.out(), "outcome  already-in-force\nversion  2\n");
        assertEquals(node.current().version(), 2);
    }

    /** A rival's change of the same section is a conflict that shows the change; nothing is overwritten. */
    @Test
    public void showsTheConflictInTheSection() {
        node.beforeNextProposal(() -> node.change("finance", Section.SPENDING, "amount: 9000.00", "amount: 8000.00"));
        CtlRun run = propose(FINANCE_KEY);
        assertEquals(run.status(), 1);
        assertTrue(run.err().contains("outcome=conflict version=2 section=spending"), run.err());
        assertTrue(run.out().contains("spending.limits.plans.amount  9000.00  ->  8000.00"), run.out());
        assertTrue(node.current().text().contains("amount: 8000.00"));
    }

    /** A key of another team is refused by the node and changes nothing. */
    @Test
    public void failsWithAnotherTeamsKey() {
        CtlRun run = propose("../samples/lagilagi/keys/office.sample.pem");
        assertEquals(run.status(), 1);
        assertTrue(run.err().contains("error=BadSignature"), run.err());
        assertEquals(node.current().version(), 1);
    }

    /** Changes of other sections in the file are named and left out. */
    @Test
    public void leavesOutOtherSections() throws IOException {
        Files.writeString(edited, Files.readString(edited).replace("checkpoint: 20s", "checkpoint: 30s"));
        CtlRun run = propose(FINANCE_KEY);
        assertEquals(run.status(), 0);
        assertTrue(run.err().contains("section capacity of the file differs too and is left out"), run.err());
        assertTrue(node.current().text().contains("checkpoint: 20s"));
    }

    /** An unreadable key is wrong input. */
    @Test
    public void namesAnUnreadableKey() {
        CtlRun run = propose(base.toString());
        assertEquals(run.status(), 2);
        assertTrue(run.err().contains(base + " holds no Ed25519 private key"), run.err());
    }

    private CtlRun propose(String key) {
        return CtlRun.of(
                node,
                "document",
                "propose",
                edited.toString(),
                "--base",
                base.toString(),
                "--section=spending",
                "--team",
                "finance",
                "--key",
                key);
    }
}
