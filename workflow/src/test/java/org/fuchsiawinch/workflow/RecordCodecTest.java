package org.fuchsiawinch.workflow;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.forecast.RunKind;
import org.fuchsiawinch.workflow.forecast.RunTimeModel;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import org.fuchsiawinch.workflow.record.RecordFormatException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;

/** Guards against records that change in an encoding round trip, and against decoding truncated or foreign values. */
public class RecordCodecTest {

    private final RecordCodec codec = new RecordCodec();

    @DataProvider
    public Object[][] records() {
        StepSpec first = new StepSpec(
                1,
                new Resources(500, 256, 0, 0, 0),
                900,
                List.of(),
                false,
                true,
                false,
                0,
                Optional.empty(),
                Optional.empty());
        StepSpec step = new StepSpec(
                3,
                new Resources(500, 256, 2, 0, 0),
                900,
                List.of(0, 1),
                true,
                false,
                true,
                2,
                Optional.of("fast"),
                Optional.of("r1-3"));
        Submission job = new Submission(
                "0123456789abcdef",
                "plans",
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(1, 3, 1.5, 250),
                1_700_000_000_000L,
                "a text with \u00fc",
                List.of(first, first, step, step));
        CellRecord.TaskProgress task =
                new CellRecord.TaskProgress(TaskPhase.ASSIGNED, 4, 1, 3, Optional.of(new WorkerId("i-1")), "0b");
        return new Object[][] {
            {new CellRecord.Accepted(job)},
            {new CellRecord.CancelRequested("0123456789abcdef")},
            {new CellRecord.CancelRequested("0123456789abcdef", Optional.of(new WorkspaceId("ws")))},
            {new CellRecord.Progress("0123456789abcdef", "plans", JobPhase.ACTIVE, 0, List.of(List.of(task, task)))},
            {new CellRecord.Owner("n1", 70_000, true, false, CellRecord.Owner.MIN_TERM_MS)},
            {new CellRecord.UnreachedWorkers(70_000, Map.of(new WorkerId("w1"), 4000L, new WorkerId("w2"), 0L))},
            {new CellRecord.LearnedRunTimes(Map.of(new WorkerId("i-1"), 0.5), Map.of("plans", -0.25))},
            {new CellRecord.Removed("s/0123456789abcdef")},
        };
    }

    @Test(dataProvider = "records")
    public void roundTripsEveryRecord(CellRecord record) {
        assertEquals(codec.decode(record.key(), codec.encode(record)), record);
    }

    // Guards against learned run times that a successor, or a node of an earlier release, cannot read.
    @Test
    public void addsRunTimesToTheEndOfLearnedValues() {
        RunKind kind = new RunKind("plans", new WorkspaceId("ws"), "8x4", true);
        CellRecord.LearnedRunTimes record = new CellRecord.LearnedRunTimes(
                Map.of(new WorkerId("i-1"), 0.5),
                Map.of("plans", -0.25),
                List.of(new RunTimeModel.Group(kind, Map.of(23, 40, -30, 1))));
        byte[] value = codec.encode(record);
        assertEquals(codec.decode(record.key(), value), record);
        byte[] earlier = codec.encode(new CellRecord.LearnedRunTimes(record.logSpeeds(), record.queueErrors()));
        assertEquals(Arrays.copyOf(value, earlier.length), earlier);
    }

    @Test(dataProvider = "records")
    public void rejectsTruncatedValues(CellRecord record) {
        byte[] whole = codec.encode(record);
        for (int length = 1; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(RecordFormatException.class, () -> codec.decode(record.key(), truncated));
        }
    }

    @Test
    public void rejectsUnknownVersionsAndKeys() {
        byte[] value = codec.encode(new CellRecord.Owner("n1", 1, false));
        assertThrows(RecordFormatException.class, () -> codec.decode("x/1", value));
        value[0] = 2;
        assertThrows(RecordFormatException.class, () -> codec.decode("owner", value));
    }

    private static Submission job(StepSpec... steps) {
        return new Submission(
                "0123456789abcdef",
                "plans",
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(1, 3, 1.5, 250),
                0,
                "",
                List.of(steps));
    }

    private static StepSpec step(int count, int accelerators, long estimatedMs, Integer... after) {
        return new StepSpec(
                count,
                new Resources(1, 1, accelerators, 0, 0),
                estimatedMs,
                List.of(after),
                false,
                false,
                false,
                0,
                Optional.empty(),
                Optional.empty());
    }

    @DataProvider
    public Object[][] jobsThatCannotBeScheduled() {
        return new Object[][] {
            {job()},
            {job(step(0, 1, 10))},
            {job(step(Integer.MAX_VALUE, 1, 10))},
            {job(step(3000, 1, 10), step(3000, 1, 10))},
            {job(step(1, -1, 10))},
            {job(step(1, Integer.MAX_VALUE, 10))},
            {job(step(1, 1, -1))},
            {job(step(1, 1, Long.MAX_VALUE))},
            {job(step(1, 1, 10, 0))},
            {job(step(1, 1, 10), step(1, 1, 10, -1))},
            {job(step(1, 1, 10), step(1, 1, 10, 7))},
        };
    }

    // Guards against records of other writers that every owner would fail on in each of its passes.
    @Test(dataProvider = "jobsThatCannotBeScheduled")
    public void rejectsJobsThatCannotBeScheduled(Submission job) {
        CellRecord record = new CellRecord.Accepted(job);
        assertThrows(RecordFormatException.class, () -> codec.decode(record.key(), codec.encode(record)));
    }

    @DataProvider
    public Object[][] oddValues() {
        byte arrayHeader = (byte) 0xdd;
        return new Object[][] {
            {"owner", codec.encode(new CellRecord.Owner("n1", Long.MAX_VALUE, false))},
            {"owner", codec.encode(new CellRecord.Owner("n1", -1, false))},
            {"learned", codec.encode(new CellRecord.LearnedRunTimes(Map.of(new WorkerId("i"), Double.NaN), Map.of()))},
            {"s/0", new byte[] {1, (byte) 0xa1, 'q', 0, 0, arrayHeader, 0x7f, -1, -1, -1}},
            {"s/0", new byte[] {1, (byte) 0xa1, 'q', 0, 0, (byte) 0x91, arrayHeader, 0x7f, -1, -1, -1}},
            {"s/0", new byte[] {1, (byte) 0xa1, 'q', 99, 0, (byte) 0x90}},
            {"s/0", new byte[] {1, (byte) 0xa1, 'q', 0, 0, (byte) 0x91, (byte) 0x91, 0, 0, 0, 0, (byte) 0xa1, ' ', -96}
            },
        };
    }

    // Guards against a record that ends the process by its memory, or its reader by an exception that nobody handles.
    @Test(dataProvider = "oddValues")
    public void rejectsOddValues(String key, byte[] value) {
        assertThrows(RecordFormatException.class, () -> codec.decode(key, value));
    }

    // Guards against damaged records that do anything but decode or fail as unreadable, over 10,000 seeded cases.
    @Test
    public void decodesOrRejectsDamagedValues() {
        Random random = new Random(1);
        Object[][] records = records();
        for (int i = 0; i < 10_000; i++) {
            CellRecord record = (CellRecord) records[random.nextInt(records.length)][0];
            byte[] value = codec.encode(record);
            for (int damaged = random.nextInt(4); damaged >= 0 && value.length > 0; damaged--) {
                value[random.nextInt(value.length)] = (byte) random.nextInt();
            }
            try {
                CellRecord decoded = codec.decode(record.key(), value);
                assertEquals(decoded.key(), record.key());
            } catch (RecordFormatException rejected) {
                assertNotNull(rejected.getMessage());
            }
        }
    }

    // Guards against a job whose critical path takes a time that doubles with each of its steps.
    @Test(timeOut = 5000)
    public void findsTheCriticalPathOfManyStepsThatAllDependOnEachOther() {
        StepSpec[] steps = new StepSpec[500];
        for (int step = 0; step < steps.length; step++) {
            steps[step] = step(1, 1, 10, IntStream.range(0, step).boxed().toArray(Integer[]::new));
        }
        assertEquals(job(steps).criticalPathMs(), 5000);
        assertEquals(new JobState(job(steps)).criticalPathAfterMs(100), 3990);
    }

    /** Guards against an owner of an earlier version, whose records lack the last fields, that is taken for a newer one. */
    @Test
    public void ownerWithoutTheLastFieldsIsOfAnEarlierVersion() {
        int termBytes = 3;
        CellRecord.Owner present = new CellRecord.Owner("n1", 70_000, true, 2400);
        CellRecord.Owner withoutTerm = new CellRecord.Owner("n1", 70_000, true);
        CellRecord.Owner earliest = new CellRecord.Owner("n1", 70_000, true, false, CellRecord.Owner.MIN_TERM_MS);
        byte[] whole = codec.encode(present);
        assertEquals(codec.decode(present.key(), whole), present);
        assertEquals(codec.decode(present.key(), Arrays.copyOf(whole, whole.length - termBytes)), withoutTerm);
        assertEquals(codec.decode(present.key(), Arrays.copyOf(whole, whole.length - termBytes - 1)), earliest);
        for (int length = 1; length < whole.length; length++) {
            if (length != whole.length - termBytes && length != whole.length - termBytes - 1) {
                byte[] truncated = Arrays.copyOf(whole, length);
                assertThrows(RecordFormatException.class, () -> codec.decode(present.key(), truncated));
            }
        }
    }

    /** Guards against a record of another writer whose term lets owners overlap, or leaves the cell without one for ever. */
    @Test
    public void limitsTheTermOfAnOwner() {
        assertEquals(new CellRecord.Owner("n1", 1, false, -5).termMs(), CellRecord.Owner.MIN_TERM_MS);
        assertEquals(new CellRecord.Owner("n1", 1, false, Long.MAX_VALUE).termMs(), CellRecord.Owner.MAX_TERM_MS);
    }
}
