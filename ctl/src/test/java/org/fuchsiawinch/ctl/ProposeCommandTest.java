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

/** Tests signing, retry and refusal of proposals. */
public final class ProposeCommandTest {

    private static final String FINANCE_KEY = "../samples/lagilagi/keys/finance.sample.pem";

    private FakeNode node;
    private Path base;
    private Path edited;

    @BeforeMethod
    void writeFiles() throws IOException {
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

    /** A change to a section of the document in force is accepted. */
    @Test
    public void proposesTheSection() {
        CtlRun run = propose(FINANCE_KEY);
        assertEquals(run.status(), 0, run.err());
        assertEquals(run.out(), "outcome  accepted\nversion  2\n");
        assertTrue(node.current().text().contains("amount: 100,"));
    }

    /**
     * If another team changes another section, even between read and proposal, the proposal is signed again and neither
     * change is lost.
     */
    @Test
    public void signsAgainWhenAnotherSectionChanged() {
        node.changeSection("engineering", Section.CAPACITY, "checkpoint: 20s", "checkpoint: 25s");
        node.beforeNextProposal(
                () -> node.changeSection("engineering", Section.CAPACITY, "checkpoint: 25s", "checkpoint: 30s"));
        CtlRun run = propose(FINANCE_KEY);
        assertEquals(run.status(), 0, run.err());
        assertEquals(node.current().version(), 4);
        assertTrue(node.current().text().contains("checkpoint: 30s"));
        assertTrue(node.current().text().contains("amount: 100,"));
    }

    /** Running the command again, as after a lost reply, succeeds and creates no second version. */
    @Test
    public void succeedsIfTheSectionIsAlreadyInForce() {
        propose(FINANCE_KEY);
        CtlRun again = propose(FINANCE_KEY);
        assertEquals(again.status(), 0, again.err());
        assertEquals(again.out(), "outcome  already-in-force\nversion  2\n");
        assertEquals(node.current().version(), 2);
    }

    /** A concurrent change to the same section is printed as a conflict with the change; nothing is overwritten. */
    @Test
    public void showsTheConflictInTheSection() {
        node.beforeNextProposal(
                () -> node.changeSection("finance", Section.SPENDING, "amount: 9000.00", "amount: 8000.00"));
        CtlRun run = propose(FINANCE_KEY);
        assertEquals(run.status(), 1);
        assertTrue(run.err().contains("outcome=conflict version=2 section=spending"), run.err());
        assertTrue(run.out().contains("spending.limits.plans.amount  9000.00  ->  8000.00"), run.out());
        assertTrue(node.current().text().contains("amount: 8000.00"));
    }

    /** The node refuses a signature by another team's key, and the document stays unchanged. */
    @Test
    public void failsWithAnotherTeamsKey() {
        CtlRun run = propose("../samples/lagilagi/keys/office.sample.pem");
        assertEquals(run.status(), 1);
        assertTrue(run.err().contains("error=BadSignature"), run.err());
        assertEquals(node.current().version(), 1);
    }

    /** Changes to other sections of the file are reported and not proposed. */
    @Test
    public void ignoresOtherSections() throws IOException {
        Files.writeString(edited, Files.readString(edited).replace("checkpoint: 20s", "checkpoint: 30s"));
        CtlRun run = propose(FINANCE_KEY);
        assertEquals(run.status(), 0);
        assertTrue(run.err().contains("section capacity of the file differs too and is not proposed"), run.err());
        assertTrue(node.current().text().contains("checkpoint: 20s"));
    }

    /** An invalid key file is a usage error that names the file. */
    @Test
    public void reportsAnInvalidKeyFile() {
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
