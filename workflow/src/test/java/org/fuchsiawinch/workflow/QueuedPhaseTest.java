package org.fuchsiawinch.workflow;

import java.util.Optional;

import org.fuchsiawinch.workflow.cell.JobIndex;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/** Guards against a number of waiting jobs that leaves out jobs which no worker has begun. */
public class QueuedPhaseTest {

    private static final String JOB = "job";
    private static final String QUEUE = "q0";

    /** Longest delay in ms until a start that the owner knows of is stored: a heartbeat, a tick, links and store. */
    private static final long STORED_MS = 400 + 100 + 10;

    /** Longest wait in ms of a renewal at an idle worker, whose report shows a start that was not answered. */
    private static final long REPORT_MS = 2000;

    private OwnerHarness cell;
    private FakeWorker worker;

    @BeforeMethod
    public void create() {
        cell = new OwnerHarness();
        worker = cell.worker("w0", "r0");
        cell.takeOver().run(5000);
    }

    private void submit(long runMs) {
        cell.submit(JOB, 0, OwnerHarness.tasks(1, 1, runMs));
    }

    private int queuedCount() {
        JobIndex index = new JobIndex();
        cell.stored.values().forEach(index::apply);
        return index.queuedCount(QUEUE);
    }

    // Guards against a job that counts as begun although its start order was never carried out.
    @Test
    public void countsAJobThatIsAssignedToASilentWorker() {
        worker.silent = true;
        submit(8000);
        cell.run(1000);
        assertFalse(cell.lines.of("run-assigned").isEmpty());
        assertEquals(queuedCount(), 1);
        cell.run(20_000);
        assertEquals(queuedCount(), 1);
    }

    // Guards against the same after a change of the owner, which finds the assignment in the store.
    @Test
    public void countsAJobThatAnEarlierOwnerHasAssigned() {
        worker.silent = true;
        submit(8000);
        cell.run(1000).takeOver().run(3000);
        assertEquals(queuedCount(), 1);
        worker.silent = false;
        cell.run(15_000);
        assertEquals(queuedCount(), 0);
    }

    @Test
    public void leavesOutAJobOnceAWorkerHasBegunIt() {
        submit(8000);
        cell.run(STORED_MS);
        assertEquals(cell.phase(JOB), Optional.of(JobPhase.ACTIVE));
        assertEquals(queuedCount(), 0);
    }

    // Guards against a job that stays queued because only the answer to its start order was lost.
    @Test
    public void leavesOutAJobWhoseRunIsOnlyReported() {
        worker.losesStartReplies = true;
        submit(8000);
        cell.run(REPORT_MS + STORED_MS);
        assertEquals(queuedCount(), 0);
    }

    // Guards against a job that goes back to queued when its first run ends without success.
    @Test
    public void leavesOutAJobWhoseRunHasFailed() {
        worker.failsAllRuns = true;
        worker.losesStartReplies = true;
        submit(8000);
        cell.run(REPORT_MS + STORED_MS);
        assertEquals(queuedCount(), 0);
    }
}
