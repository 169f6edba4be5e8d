package org.fuchsiawinch.bench;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

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
import org.fuchsiawinch.protocol.fold.LedgerDocumentFold;
import org.fuchsiawinch.protocol.fold.LogFold;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.record.RecordId;
import org.fuchsiawinch.wire.RecordCodec;

/** Prints the encoded size of a job's log records, and the time and heap that reading and keeping them costs a node. */
public final class RecordProbe {

    private static final CellId CELL = new CellId("main");
    private static final NodeId NODE = new NodeId("n0-1764830000000");
    private static final int JOBS = 18_000;
    private static final int WARM_UP_JOBS = 4000;
    private static final int ANSWER_BYTES = 1024;
    private static final int[] PARTS = {1, 10, 64};
    private static final double NANOS_PER_US = 1000;

    private RecordProbe() {}

    /**
     * Runs the probe.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        RecordCodec codec = new RecordCodec();
        for (int parts : PARTS) {
            System.out.println("parts=" + parts + " bytes_per_job=" + encodedSizes(codec, parts));
        }
        measureFold(codec, WARM_UP_JOBS);
        System.out.println(measureFold(codec, JOBS));
    }

    private static String encodedSizes(RecordCodec codec, int parts) {
        StringBuilder line = new StringBuilder();
        int sum = 0;
        for (LogRecord record : records(0, parts)) {
            int bytes = codec.encode(envelope(1, record)).length;
            sum += bytes;
            line.append(' ')
                    .append(record.getClass().getSimpleName())
                    .append('=')
                    .append(bytes);
        }
        return sum + line.toString();
    }

    /** Returns the cost of decoding and folding the records of jobs of ten parts as {@code key=value} pairs. */
    private static String measureFold(RecordCodec codec, int jobs) {
        List<byte[]> log = new ArrayList<>();
        long sequence = 0;
        log.add(codec.encode(envelope(++sequence, new LogRecord.CellClaimed(CELL, NODE, 1))));
        for (int job = 0; job < jobs; job++) {
            for (LogRecord record : records(job, 10)) {
                log.add(codec.encode(envelope(++sequence, record)));
            }
        }
        long before = usedBytes();
        LogFold fold = new LogFold(new LedgerDocumentFold());
        long startNs = System.nanoTime();
        long offset = 0;
        for (byte[] record : log) {
            fold.apply(offset++, codec.decode(record));
        }
        long tookNs = System.nanoTime() - startNs;
        long heldBytes = usedBytes() - before;
        return "jobs=" + fold.jobs().size() + " records=" + log.size() + " us_per_record="
                + String.format("%.1f", tookNs / NANOS_PER_US / log.size()) + " recovery_ms=" + tookNs / 1_000_000
                + " bytes_per_finished_job=" + heldBytes / jobs;
    }

    private static List<LogRecord> records(int index, int parts) {
        JobId id = new JobId("workspace-17.job-" + index);
        Resources part = new Resources(3000, 12_288, 1, 1, 4);
        JobSpec job = new JobSpec(
                id,
                new WorkspaceId("workspace-17"),
                "bundle",
                new Shape(parts, part, Adjacency.DATA_CENTRE),
                14_400_000,
                true,
                true,
                Urgency.NORMAL,
                OptionalLong.of(1_764_900_000_000L));
        AttemptId attempt = new AttemptId(id, 1);
        List<Placement> placements = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            placements.add(new Placement(i, new WorkerId("w" + (1000 + i))));
        }
        byte[] payload = "season=diwali\nshops=120\n".getBytes(StandardCharsets.UTF_8);
        return List.of(
                new LogRecord.JobAccepted(CELL, job, payload),
                new LogRecord.AttemptPlaced(CELL, 1, attempt, placements, false),
                new LogRecord.AttemptReleased(CELL, 1, attempt),
                new LogRecord.JobFinished(
                        CELL, 1, id, new JobOutcome.Completed(new byte[ANSWER_BYTES], "0".repeat(64))));
    }

    private static Envelope envelope(long sequence, LogRecord record) {
        return new Envelope(new RecordId(NODE, sequence), Envelope.SCHEMA_VERSION, 1_764_830_000_000L, record);
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
