package org.fuchsiawinch.protocol.fold;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.protocol.Samples;
import org.fuchsiawinch.protocol.record.AttemptEnd;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against work that runs twice: non-idempotent work that is placed again after its release, a job that is
 * accepted again after it was dropped past its retention, and a second job record that replaces the first.
 */
public class DuplicateWorkTest {

    private static final long DEADLINE_MS = 10_000;

    private final LogFold fold = new LogFold(new Samples.SimpleDocumentFold());
    private long offset;

    @Test
    public void nonIdempotentWorkIsNotPlacedAgainAfterItsRelease() {
        apply(0, new LogRecord.CellClaimed(Samples.CELL, Samples.N1, 1));
        accept("once", DEADLINE_MS, 0);
        place("once", 1);
        apply(0, new LogRecord.AttemptEnded(Samples.CELL, 1, Samples.attempt("once", 1), AttemptEnd.NOT_RELEASED));
        assertEquals(place("once", 2), Optional.empty(), "attempt 1 was not released");
        apply(0, new LogRecord.AttemptReleased(Samples.CELL, 1, Samples.attempt("once", 2)));
        apply(0, new LogRecord.AttemptEnded(Samples.CELL, 1, Samples.attempt("once", 2), AttemptEnd.STOPPED));
        assertEquals(place("once", 3), Optional.of(VoidCode.NOT_REPEATABLE));
        LogRecord notRun = new LogRecord.JobFinished(
                Samples.CELL, 1, new JobId("once"), new JobOutcome.NotRun("x", OptionalLong.empty()));
        assertEquals(apply(0, notRun), Optional.of(VoidCode.WRONG_STATUS));
    }

    @Test
    public void expiredNonIdempotentJobIsNotAcceptedAgain() {
        LogFold newFold = new LogFold(new Samples.SimpleDocumentFold());
        newFold.apply(0, Samples.envelope(Samples.N1, 1, 0, new LogRecord.CellClaimed(Samples.CELL, Samples.N1, 1)));
        LogRecord accepted = new LogRecord.JobAccepted(
                Samples.CELL, Samples.job("once", 1, false, OptionalLong.of(DEADLINE_MS)), new byte[0]);
        assertEquals(newFold.apply(1, Samples.envelope(Samples.N1, 2, 1, accepted)), Optional.empty());
        LogRecord finished = new LogRecord.JobFinished(
                Samples.CELL, 1, new JobId("once"), new JobOutcome.NotRun("x", OptionalLong.empty()));
        newFold.apply(2, Samples.envelope(Samples.N1, 3, 2, finished));
        assertTrue(newFold.job(new JobId("once")).isPresent());

        long laterMs = 2
                + FinishedJobRetention.ANSWER_RETENTION_MS
                + DEADLINE_MS
                + FinishedJobRetention.ID_RETENTION_AFTER_DEADLINE_MS;
        newFold.apply(3, Samples.envelope(Samples.N1, 4, laterMs, new LogRecord.CellHeld(Samples.CELL, 1)));
        assertTrue(newFold.job(new JobId("once")).isEmpty(), "dropped after its retention");
        assertEquals(
                newFold.apply(4, Samples.envelope(Samples.N2, 1, 3, accepted)), Optional.of(VoidCode.PAST_DEADLINE));
    }

    @Test
    public void secondAcceptanceIsVoidAndFirstPayloadIsKept() {
        LogFold newFold = new LogFold(new Samples.SimpleDocumentFold());
        LogRecord first = new LogRecord.JobAccepted(Samples.CELL, Samples.idempotentJob("same", 1), new byte[] {1});
        LogRecord second = new LogRecord.JobAccepted(Samples.CELL, Samples.idempotentJob("same", 1), new byte[] {2});
        assertEquals(newFold.apply(0, Samples.envelope(Samples.N1, 1, 0, first)), Optional.empty());
        assertEquals(newFold.apply(1, Samples.envelope(Samples.N2, 1, 0, second)), Optional.of(VoidCode.DUPLICATE_JOB));
        JobEntry job = newFold.job(new JobId("same")).orElseThrow();
        assertTrue(job.matches(job.spec(), Sha256.hex(new byte[] {1})));
    }

    private void accept(String job, long deadlineMs, long nowMs) {
        apply(
                nowMs,
                new LogRecord.JobAccepted(
                        Samples.CELL, Samples.job(job, 1, false, OptionalLong.of(deadlineMs)), new byte[0]));
    }

    private Optional<VoidCode> place(String job, int number) {
        return apply(
                0,
                new LogRecord.AttemptPlaced(
                        Samples.CELL, 1, Samples.attempt(job, number), List.of(new Placement(0, Samples.W1)), false));
    }

    private Optional<VoidCode> apply(long nowMs, LogRecord record) {
        Optional<VoidCode> voidCode = fold.apply(offset, Samples.envelope(Samples.N1, offset + 1, nowMs, record));
        offset++;
        return voidCode;
    }
}
