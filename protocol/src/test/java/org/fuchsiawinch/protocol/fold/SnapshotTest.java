package org.fuchsiawinch.protocol.fold;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.protocol.Samples;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against state that is lost or changed when a node loads a snapshot instead of reading the log from its start:
 * a loaded state that differs from the folded one, a duplicate record that takes effect after loading, and a snapshot
 * that counts as complete although a chunk is missing.
 */
public class SnapshotTest {

    /** About the estimated size of one job, so that a snapshot has several chunks. */
    private static final int SMALL_CHUNK_BYTES = 700;

    private final SnapshotAssembler assembler = new SnapshotAssembler();

    @Test
    public void loadedStateEqualsFoldedState() {
        LogFold folded = folded();
        List<LogRecord> records = folded.snapshot(1, SMALL_CHUNK_BYTES);
        assertTrue(records.size() > 3, "expected several chunks but got " + records.size() + " records");

        LogFold loaded = new LogFold(new Samples.SimpleDocumentFold());
        loaded.load(assemble(records).orElseThrow());

        assertEquals(loaded.nextOffset(), folded.nextOffset());
        assertEquals(loaded.cell(Samples.CELL), folded.cell(Samples.CELL));
        assertEquals(loaded.document().inForce().orElseThrow().text(), "text");
        assertEquals(List.copyOf(loaded.jobs()), List.copyOf(folded.jobs()));
        assertEquals(loaded.snapshot(1, SMALL_CHUNK_BYTES), records);
    }

    @Test
    public void duplicateRecordIsVoidAfterLoading() {
        LogFold loaded = new LogFold(new Samples.SimpleDocumentFold());
        loaded.load(assemble(folded().snapshot(1, SMALL_CHUNK_BYTES)).orElseThrow());
        Envelope duplicate = Samples.envelope(Samples.N1, 1, 10, new LogRecord.CellHeld(Samples.CELL, 1));
        assertEquals(loaded.apply(99, duplicate), Optional.of(VoidCode.DUPLICATE_RECORD));
    }

    @Test
    public void snapshotWithMissingChunkIsVoid() {
        LogFold fold = folded();
        List<LogRecord> records = fold.snapshot(1, SMALL_CHUNK_BYTES);
        long sequence = 100;
        Optional<VoidCode> last = Optional.empty();
        for (LogRecord record : records) {
            if (record instanceof LogRecord.SnapshotChunk chunk && chunk.index() == 1) {
                continue;
            }
            last = fold.apply(sequence, Samples.envelope(Samples.N1, sequence, 50, record));
            sequence++;
        }
        assertEquals(last, Optional.of(VoidCode.INCOMPLETE_SNAPSHOT));
        assertEquals(fold.lastSnapshotMs(), 0);
    }

    private Optional<SnapshotAssembler.CompleteSnapshot> assemble(List<LogRecord> records) {
        for (LogRecord record : records) {
            if (record instanceof LogRecord.SnapshotChunk chunk) {
                assembler.add(Samples.N2, chunk);
            }
        }
        return assembler.finish(Samples.N2, (LogRecord.SnapshotDone) records.get(records.size() - 1));
    }

    private static LogFold folded() {
        LogFold fold = new LogFold(new Samples.SimpleDocumentFold());
        List<LogRecord> records = List.of(
                new LogRecord.DocumentFounded("text"),
                new LogRecord.CellClaimed(Samples.CELL, Samples.N1, 1),
                new LogRecord.JobAccepted(Samples.CELL, Samples.idempotentJob("a", 1), new byte[300]),
                new LogRecord.JobAccepted(
                        Samples.CELL, Samples.job("b", 1, false, OptionalLong.of(9000)), new byte[300]),
                new LogRecord.JobAccepted(Samples.CELL, Samples.idempotentJob("c", 1), new byte[300]),
                new LogRecord.AttemptPlaced(
                        Samples.CELL, 1, Samples.attempt("a", 1), List.of(new Placement(0, Samples.W1)), false),
                new LogRecord.AttemptReleased(Samples.CELL, 1, Samples.attempt("a", 1)),
                new LogRecord.JobFinished(
                        Samples.CELL,
                        1,
                        new JobId("a"),
                        new JobOutcome.Completed(new byte[] {1}, Sha256.hex(new byte[] {1}))),
                new LogRecord.AttemptPlaced(
                        Samples.CELL, 1, Samples.attempt("b", 1), List.of(new Placement(0, Samples.W2)), true));
        for (int index = 0; index < records.size(); index++) {
            Optional<VoidCode> voidCode =
                    fold.apply(index, Samples.envelope(Samples.N1, index + 1, 10 + index, records.get(index)));
            assertEquals(voidCode, Optional.empty(), records.get(index).toString());
        }
        return fold;
    }
}
