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

public class LedgerBookTest {

    private String text;

    @BeforeClass
    public void readSample() throws IOException {
        text = Files.readString(Path.of("..", "samples", "lagilagi", "document.yaml"));
    }

    @Test
    public void foundsOnceAndRefusesASecondFounding() {
        LedgerBook book = new LedgerBook();
        assertTrue(book.apply(3, new LogRecord.DocumentFounded(text)).isEmpty());
        assertEquals(book.inForce().orElseThrow().version(), 1);
        DocumentBook.Refusal refusal =
                book.apply(4, new LogRecord.DocumentFounded(text)).orElseThrow();
        assertEquals(refusal.code(), DocumentBook.Refusal.Code.ALREADY_FOUNDED);
    }

    @Test
    public void refusesAnUnsignedProposalAndKeepsTheOld() {
        LedgerBook book = founded();
        String before = book.inForce().orElseThrow().text();
        DocumentBook.Refusal refusal = book.apply(
                        5, new LogRecord.DocumentProposed("finance", "spending", 1, "spending: {}\n", "AAAA"))
                .orElseThrow();
        assertEquals(refusal.code(), DocumentBook.Refusal.Code.BAD_SIGNATURE);
        assertEquals(book.inForce().orElseThrow().text(), before);
    }

    @Test
    public void copyOfAnotherNodeIsTakenOnceAndItsRecordsAreNotJudgedAgain() {
        LedgerBook cutOff = new LedgerBook();
        DocumentBook.Offer offer = founded().offer(9).orElseThrow();
        assertTrue(cutOff.adopt(offer));
        assertFalse(cutOff.adopt(offer));
        assertEquals(cutOff.inForce().orElseThrow().version(), 1);
        DocumentBook.Refusal refusal =
                cutOff.apply(3, new LogRecord.DocumentFounded(text)).orElseThrow();
        assertEquals(refusal.code(), DocumentBook.Refusal.Code.UNDECIDED);
        assertEquals(cutOff.inForce().orElseThrow().version(), 1);
    }

    @Test
    public void copyAfterASnapshotComesIntoForce() {
        LedgerBook fresh = new LedgerBook();
        assertTrue(fresh.apply(20, new LogRecord.DocumentRepublished(6, text)).isEmpty());
        assertEquals(fresh.inForce().orElseThrow().version(), 6);
        assertTrue(fresh.apply(21, new LogRecord.DocumentRepublished(5, text)).isPresent());
        assertEquals(fresh.inForce().orElseThrow().version(), 6);
    }

    private LedgerBook founded() {
        LedgerBook book = new LedgerBook();
        book.apply(3, new LogRecord.DocumentFounded(text));
        return book;
    }
}
