package org.fuchsiawinch.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.record.RecordId;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Tests that records keep all fields, and that a node neither fails on records of a later version, which appear in the
 * log during an upgrade, nor takes damaged bytes for a record.
 */
public class RecordCodecTest {

    private static final CellId CELL = new CellId("main");

    private final RecordCodec codec = new RecordCodec();

    @Test
    public void preservesAllFieldsOfRecords() {
        AttemptId attempt = new AttemptId(new JobId("plans.p1"), 2);
        roundTrip(new LogRecord.AttemptPlaced(
                CELL,
                7,
                attempt,
                List.of(new Placement(0, new WorkerId("w1")), new Placement(1, new WorkerId("w2"))),
                true));
        roundTrip(new LogRecord.JobFinished(
                CELL, 7, attempt.job(), new JobOutcome.NotRun("END_DEADLINE", OptionalLong.of(5))));
        roundTrip(new LogRecord.CellClaimed(CELL, new NodeId("n0-1"), 8));
    }

    @Test
    public void preservesJobAndPayload() {
        JobSpec job = new JobSpec(
                new JobId("plans.p1"),
                new WorkspaceId("plans"),
                "bundle",
                new Shape(8, new Resources(1, 2, 3, 4, 5), Adjacency.RACK),
                1000,
                true,
                false,
                Urgency.URGENT,
                OptionalLong.of(99));
        byte[] payload = "run-ms=1".getBytes(StandardCharsets.UTF_8);
        Envelope decoded = codec.decode(codec.encode(envelope(new LogRecord.JobAccepted(CELL, job, payload))));
        LogRecord.JobAccepted accepted = (LogRecord.JobAccepted) decoded.record();
        assertEquals(accepted.job(), job);
        assertEquals(accepted.payload(), payload);
    }

    @Test
    public void decodesUnknownKindsAsUnrecognised() throws Exception {
        String text = "{\"id\":{\"writer\":{\"value\":\"n9\"},\"sequence\":1},\"schemaVersion\":9,"
                + "\"writtenMs\":5,\"record\":{\"@kind\":\"NotYetInvented\",\"field\":1}}";
        byte[] later = new ObjectMapper(new MessagePackFactory()).writeValueAsBytes(new ObjectMapper().readTree(text));
        assertEquals(codec.decode(later).record().getClass(), LogRecord.Unrecognised.class);
    }

    @Test
    public void rejectsBytesThatAreNotARecord() {
        assertThrows(CodecException.class, () -> codec.decode(new byte[] {1, 2, 3}));
        byte[] cut = codec.encode(envelope(new LogRecord.CellHeld(CELL, 3)));
        assertThrows(CodecException.class, () -> codec.decode(Arrays.copyOf(cut, cut.length / 2)));
    }

    private void roundTrip(LogRecord record) {
        Envelope envelope = envelope(record);
        assertEquals(codec.decode(codec.encode(envelope)), envelope);
    }

    private static Envelope envelope(LogRecord record) {
        return new Envelope(new RecordId(new NodeId("n0-1"), 3), Envelope.SCHEMA_VERSION, 12, record);
    }
}
