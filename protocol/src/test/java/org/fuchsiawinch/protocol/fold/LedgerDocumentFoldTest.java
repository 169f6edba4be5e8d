package org.fuchsiawinch.protocol.fold;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.fuchsiawinch.protocol.record.LogRecord;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a document that wrongly comes into force: a second first version, a change without a valid signature,
 * a record that is applied again although a peer's copy already reflects it, and an older republished version.
 */
public class LedgerDocumentFoldTest {

    private String text;

    @BeforeClass
    public void readSample() throws IOException {
        text = Files.readString(Path.of("..", "samples", "lagilagi", "document.yaml"));
    }

    @Test
    public void acceptsFirstDocumentOnlyOnce() {
        LedgerDocumentFold fold = new LedgerDocumentFold();
        assertTrue(fold.apply(3, new LogRecord.DocumentFounded(text)).isEmpty());
        assertEquals(fold.inForce().orElseThrow().version(), 1);
        DocumentFold.Refusal refusal =
                fold.apply(4, new LogRecord.DocumentFounded(text)).orElseThrow();
        assertEquals(refusal.code(), DocumentFold.Refusal.Code.ALREADY_FOUNDED);
    }

    @Test
    public void refusesInvalidSignatureAndKeepsDocument() {
        LedgerDocumentFold fold = founded();
        String before = fold.inForce().orElseThrow().text();
        DocumentFold.Refusal refusal = fold.apply(
                        5, new LogRecord.DocumentProposed("finance", "spending", 1, "spending: {}\n", "AAAA"))
                .orElseThrow();
        assertEquals(refusal.code(), DocumentFold.Refusal.Code.BAD_SIGNATURE);
        assertEquals(fold.inForce().orElseThrow().text(), before);
    }

    @Test
    public void adoptsPeerCopyOnceAndDoesNotReapplyItsRecords() {
        LedgerDocumentFold withoutLog = new LedgerDocumentFold();
        DocumentFold.DocumentCopy copy = founded().copy(9).orElseThrow();
        assertTrue(withoutLog.adopt(copy));
        assertFalse(withoutLog.adopt(copy));
        assertEquals(withoutLog.inForce().orElseThrow().version(), 1);
        DocumentFold.Refusal refusal =
                withoutLog.apply(3, new LogRecord.DocumentFounded(text)).orElseThrow();
        assertEquals(refusal.code(), DocumentFold.Refusal.Code.UNDECIDED);
        assertEquals(withoutLog.inForce().orElseThrow().version(), 1);
    }

    @Test
    public void adoptsRepublishedDocumentWhileNoneIsInForce() {
        LedgerDocumentFold fresh = new LedgerDocumentFold();
        assertTrue(fresh.apply(20, new LogRecord.DocumentRepublished(6, text)).isEmpty());
        assertEquals(fresh.inForce().orElseThrow().version(), 6);
        assertTrue(fresh.apply(21, new LogRecord.DocumentRepublished(5, text)).isPresent());
        assertEquals(fresh.inForce().orElseThrow().version(), 6);
    }

    private LedgerDocumentFold founded() {
        LedgerDocumentFold fold = new LedgerDocumentFold();
        fold.apply(3, new LogRecord.DocumentFounded(text));
        return fold;
    }
}
