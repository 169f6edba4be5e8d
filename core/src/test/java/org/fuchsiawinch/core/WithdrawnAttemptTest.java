package org.fuchsiawinch.core;

import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkspaceId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.Cell.HOUR_MS;
import static org.fuchsiawinch.core.Cell.shape;
import static org.fuchsiawinch.core.Cell.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WithdrawnAttemptTest {

    @Test
    public void nonIdempotentJobThatNeverBeganStartsAgain() {
        Cell cell = started();
        cell.send(new SchedulerEvent.AttemptWithdrawn(cell.attemptOf("j").orElseThrow()));
        assertEquals(cell.attemptOf("j").orElseThrow().number(), 2);
        assertFalse(cell.last.stream().anyMatch(Decision.EndJob.class::isInstance));
    }

    @Test
    public void nonIdempotentJobThatMayHaveBegunEnds() {
        Cell cell = started();
        cell.send(new SchedulerEvent.AttemptStopped(cell.attemptOf("j").orElseThrow(), false));
        assertTrue(cell.last.stream().anyMatch(Decision.EndJob.class::isInstance));
    }

    @Test
    public void startTimeoutsNeitherQuarantineTheWorkerNorEndTheJob() {
        Cell cell = started();
        for (int i = 0; i < 20; i++) {
            cell.fail("j", TaskFailure.START_TIMEOUT);
            assertTrue(cell.last.stream().anyMatch(Decision.StopGang.class::isInstance));
            cell.send(new SchedulerEvent.AttemptWithdrawn(cell.attemptOf("j").orElseThrow()));
            assertEquals(cell.attemptOf("j").orElseThrow().number(), i + 2);
        }
    }

    private static Cell started() {
        Cell cell = Cell.with(null).policy(Map.of("a", workspace())).worker("w0", "a1", 8, 1.0);
        JobSpec once = new JobSpec(
                new JobId("j"),
                new WorkspaceId("a"),
                "reorder",
                shape(2, Adjacency.WORKER),
                HOUR_MS,
                false,
                false,
                Urgency.NORMAL,
                OptionalLong.of(100 * HOUR_MS));
        cell.submit(once);
        assertTrue(cell.runs("j"));
        return cell;
    }
}
