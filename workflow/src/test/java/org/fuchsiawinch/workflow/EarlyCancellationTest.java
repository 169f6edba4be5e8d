package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.cell.JobIndex;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against jobs that run although they were cancelled before the store carried out their submission. */
public class EarlyCancellationTest {

    private static final CellRecord.CancelRequested OWN =
            new CellRecord.CancelRequested("late", Optional.of(new WorkspaceId("ws")));
    private static final CellRecord.CancelRequested OTHER =
            new CellRecord.CancelRequested("late", Optional.of(new WorkspaceId("other")));

    @DataProvider
    public Object[][] takeovers() {
        return new Object[][] {{0}, {1}, {2}};
    }

    // Guards against a start after the caller was told that the job does not exist; the owner may change in between.
    @Test(dataProvider = "takeovers")
    public void cancelsAJobWhoseAcceptanceIsStoredAfterItsCancellation(int takeovers) {
        OwnerHarness cell = new OwnerHarness().workers(2).takeOver();
        cell.run(3000).store(OWN);
        for (int takeover = 0; takeover < takeovers; takeover++) {
            cell.takeOver().run(500);
        }
        cell.submit("late", 0, OwnerHarness.tasks(3, 1, 300)).run(3000);
        assertEquals(cell.startCount(), 0);
        assertEquals(cell.phase("late"), Optional.of(JobPhase.CANCELLED));
    }

    // Guards against the loss of the cancellation when an owner loads it together with the late acceptance.
    @Test
    public void cancelsAJobThatIsLoadedWithItsEarlierCancellation() {
        OwnerHarness cell = new OwnerHarness().workers(2);
        cell.store(OWN);
        cell.submit("late", 0, OwnerHarness.tasks(3, 1, 300)).takeOver().run(5000);
        assertEquals(cell.startCount(), 0);
        assertEquals(cell.phase("late"), Optional.of(JobPhase.CANCELLED));
    }

    // Guards against callers who cancel jobs of other workspaces before these are submitted.
    @Test
    public void runsAJobWhoseIdAnotherWorkspaceHasCancelled() {
        OwnerHarness cell = new OwnerHarness().workers(2).takeOver();
        cell.run(3000).store(OTHER);
        cell.submit("late", 0, OwnerHarness.tasks(3, 1, 300)).run(5000);
        assertEquals(cell.phase("late"), Optional.of(JobPhase.COMPLETED));
    }

    // Guards against a cancellation that is lost since another workspace has cancelled the same id before.
    @Test
    public void cancelsAJobWhoseIdAnotherWorkspaceHasCancelledBefore() {
        OwnerHarness cell = new OwnerHarness().workers(2).takeOver();
        cell.run(3000).store(OTHER);
        cell.store(OWN);
        cell.submit("late", 0, OwnerHarness.tasks(3, 1, 300)).run(3000);
        assertEquals(cell.startCount(), 0);
    }

    // Guards against records of cancellations that stay in the store for good.
    @Test
    public void removesAnEarlyCancellationAfterTheRetention() {
        OwnerHarness cell = new OwnerHarness().workers(2).takeOver();
        cell.run(3000).store(OWN);
        cell.run(50_000);
        assertEquals(cell.stored.get(OWN.key()), OWN);
        cell.run(30_000);
        assertEquals(cell.stored.get(OWN.key()), new CellRecord.Removed(OWN.key()));
    }

    // Guards against nodes that show such a job as waiting or running.
    @Test
    public void reportsALateJobAsCancelled() {
        JobIndex index = new JobIndex();
        index.apply(OWN);
        assertTrue(index.find("late").isEmpty());
        assertTrue(index.cancelledEarly("late", Optional.of(new WorkspaceId("ws"))));
        index.apply(accepted());
        assertEquals(index.find("late").orElseThrow().reportedPhase(), JobPhase.CANCELLED);
        assertEquals(index.queuedCount("plans"), 0);
    }

    @Test
    public void reportsAJobThatAnotherWorkspaceHasCancelledAsWaiting() {
        JobIndex index = new JobIndex();
        index.apply(accepted());
        index.apply(OTHER);
        assertEquals(index.find("late").orElseThrow().reportedPhase(), JobPhase.QUEUED);
    }

    @Test
    public void forgetsARemovedCancellation() {
        JobIndex index = new JobIndex();
        index.apply(OWN);
        index.apply(new CellRecord.Removed(OWN.key()));
        assertFalse(index.cancelledEarly("late", OWN.workspace()));
    }

    private static CellRecord accepted() {
        return new CellRecord.Accepted(new Submission(
                "late",
                "plans",
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(0, 3, 1.5, 250),
                0,
                "",
                List.of(OwnerHarness.tasks(1, 1, 300))));
    }
}
