package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against lost, repeated or unstoppable runs after a change of owner, and against failures counted twice. */
public class TakeoverTest {

    @Test
    public void adoptsRunningTasksWithoutRestart() {
        OwnerHarness harness =
                new OwnerHarness().workers(4).takeOver().submit("job", 1, OwnerHarness.tasks(4, 2, 5000));
        harness.run(1500);
        assertEquals(harness.runningCount(), 4);
        harness.takeOver().run(8000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.startCount(), 4);
    }

    @Test
    public void stopsAJobWhoseCancellationTheEarlierOwnerNeverRead() {
        OwnerHarness harness =
                new OwnerHarness().workers(4).takeOver().submit("job", 1, OwnerHarness.tasks(4, 2, 20_000));
        harness.run(1500);
        harness.owner = null;
        harness.cancel("job");
        harness.takeOver().run(1500);
        assertEquals(harness.runningCount(), 0);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.CANCELLED));
    }

    @Test
    public void retriesAStopThatASilentWorkerMissed() {
        OwnerHarness harness =
                new OwnerHarness().workers(1).takeOver().submit("job", 1, OwnerHarness.tasks(1, 2, 20_000));
        harness.run(1500);
        harness.owner = null;
        harness.cancel("job");
        FakeWorker worker = harness.workers.values().iterator().next();
        worker.silent = true;
        harness.takeOver().run(1000);
        worker.silent = false;
        harness.run(3500);
        assertEquals(harness.runningCount(), 0);
    }

    @Test
    public void startsStoredAssignmentsThatWereNeverOrdered() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver();
        harness.run(500);
        harness.submit("job", 1, OwnerHarness.tasks(2, 2, 1000));
        // Shorter than the store's latency: the assignments are stored, but no start order is sent.
        harness.run(3);
        harness.takeOver().run(5000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertTrue(harness.startCount() <= 4);
    }

    /** Stores the assignment of a job of one task and gives up the owner before the start is ordered. */
    private static FakeWorker assignedWorker(OwnerHarness harness) {
        harness.workers(3).takeOver().run(500);
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 3000));
        harness.run(3);
        CellRecord.Progress progress = (CellRecord.Progress) harness.stored.get(CellRecord.Progress.PREFIX + "job");
        return harness.workers.get(progress.steps().get(0).get(0).worker().orElseThrow());
    }

    // Guards against a second run elsewhere while an order of the earlier owner may reach the worker's next process.
    @Test
    public void ordersAnInheritedAssignmentOnItsWorkerAndUnderItsNumber() {
        OwnerHarness harness = new OwnerHarness();
        FakeWorker worker = assignedWorker(harness);
        harness.takeOver().run(5000);
        assertEquals(worker.startedRuns, List.of(new TaskRun(new TaskRef("job", 0, 0), 1)));
        assertEquals(harness.startCount(), 1);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    // Guards against a start on a worker that drains, or is of another kind or size since the assignment.
    @Test
    public void givesUpAnInheritedAssignmentThatItsWorkerCannotTake() {
        for (boolean leaving : List.of(true, false)) {
            OwnerHarness harness = new OwnerHarness();
            FakeWorker worker = assignedWorker(harness);
            worker.capacity = leaving ? worker.capacity : new Resources(16_000, 32_000, 4, 0, 0);
            harness.takeOver();
            harness.list(worker, leaving);
            harness.run(6000);
            assertEquals(worker.startedRuns, List.of());
            assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        }
    }

    @Test
    public void stepsDownWhenAWorkerKnowsAHigherEpoch() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver();
        harness.run(500);
        harness.workers.values().forEach(worker -> worker.fence = 99);
        harness.run(3000);
        assertTrue(harness.steppedDown);
    }

    @Test
    public void countsAFailureReportedToSeveralOwnersOnce() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver();
        harness.run(500);
        FakeWorker worker = harness.workers.values().iterator().next();
        worker.failsAllRuns = true;
        harness.submit("job", 1, OwnerHarness.tasks(1, 1, 3000));
        harness.runUntil(() -> harness.stored.toString().contains("failures=1"));
        worker.failsAllRuns = false;
        harness.takeOver().run(3);
        harness.takeOver().run(3);
        harness.takeOver().run(20_000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }
}
