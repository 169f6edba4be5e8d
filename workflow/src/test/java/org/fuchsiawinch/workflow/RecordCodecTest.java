package org.fuchsiawinch.workflow;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import org.fuchsiawinch.workflow.record.RecordFormatException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/** Guards against records that change in an encoding round trip, and against decoding truncated or foreign values. */
public class RecordCodecTest {

    private final RecordCodec codec = new RecordCodec();

    @DataProvider
    public Object[][] records() {
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
                List.of(step, step));
        CellRecord.TaskProgress task =
                new CellRecord.TaskProgress(TaskPhase.ASSIGNED, 4, 1, 3, Optional.of(new WorkerId("i-1")), "0b");
        return new Object[][] {
            {new CellRecord.Accepted(job)},
            {new CellRecord.CancelRequested("0123456789abcdef")},
            {new CellRecord.Progress("0123456789abcdef", "plans", JobPhase.ACTIVE, 0, List.of(List.of(task, task)))},
            {new CellRecord.Owner("n1", 70_000, true)},
            {new CellRecord.LearnedRunTimes(Map.of(new WorkerId("i-1"), 0.5), Map.of("plans", -0.25))},
            {new CellRecord.Removed("s/0123456789abcdef")},
        };
    }

    @Test(dataProvider = "records")
    public void roundTripsEveryRecord(CellRecord record) {
        assertEquals(codec.decode(record.key(), codec.encode(record)), record);
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
}
