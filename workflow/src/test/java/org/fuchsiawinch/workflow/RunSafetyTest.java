package org.fuchsiawinch.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against two concurrent runs of a task when messages between owner, store and workers are lost, and against
 * tasks that are never run again.
 */
public class RunSafetyTest {

    private static FakeWorker firstWorker(OwnerHarness harness) {
        return harness.workers.values().iterator().next();
    }

    private static void assertNoTaskRunsTwice(OwnerHarness harness) {
        Map<TaskRef, TaskRun> seen = new HashMap<>();
        for (FakeWorker worker : harness.workers.values()) {
            for (TaskRun run : worker.running.keySet()) {
                TaskRun other = seen.put(run.task(), run);
                assertTrue(other == null, run + " and " + other + " run concurrently at " + harness.nowMs);
            }
        }
    }

    private static void runAndCheck(OwnerHarness harness, long forMs) {
        for (long ms = 0; ms < forMs; ms += 20) {
            harness.run(20);
            harness.workers.values().forEach(FakeWorker::expire);
            assertNoTaskRunsTwice(harness);
        }
    }

    @Test
    public void storesAssignmentBeforeStartOrder() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver();
        harness.run(500);
        harness.storeDown = true;
        harness.submit("job", 1, OwnerHarness.tasks(2, 2, 1000)).run(1000);
        assertEquals(harness.startCount(), 0);
        harness.storeDown = false;
        harness.run(3000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    @Test
    public void waitsForLeaseExpiryOfASilentWorker() {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 20_000));
        harness.run(1500);
        FakeWorker holder = harness.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
        holder.silent = true;
        runAndCheck(harness, 4000);
        assertEquals(harness.startCount(), 1);
        runAndCheck(harness, 5000);
        assertEquals(harness.startCount(), 2);
    }

    @Test
    public void confirmsAStartWhoseReplyIsLost() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver();
        harness.run(500);
        harness.workers.values().forEach(worker -> worker.losesStartReplies = true);
        harness.submit("job", 1, OwnerHarness.tasks(2, 8, 3000));
        runAndCheck(harness, 6000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    @Test
    public void rerunsTasksOfARestartedWorker() {
        OwnerHarness harness =
                new OwnerHarness().workers(1).takeOver().submit("job", 1, OwnerHarness.tasks(2, 4, 3000));
        harness.run(1500);
        firstWorker(harness).restart();
        runAndCheck(harness, 6000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.startCount(), 4);
    }

    @Test
    public void stopsARunThatStartsLate() {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 10_000));
        harness.run(1500);
        FakeWorker idle = harness.workers.values().stream()
                .filter(worker -> worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
        idle.begin(new TaskRun(new TaskRef("job", 0, 0), 7));
        harness.run(2500);
        assertTrue(idle.running.isEmpty());
    }

    @Test
    public void finishedGangMemberIsNotTakenForStalled() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver();
        harness.run(500);
        firstWorker(harness).speed = 4;
        harness.gangsSynchronized = true;
        harness.submit("job", 1, OwnerHarness.gang(2, 8, 8000));
        runAndCheck(harness, 12_000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.startCount(), 2);
    }

    @Test
    public void restartsAStalledRunElsewhere() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver();
        harness.run(500);
        harness.workers.values().forEach(worker -> worker.hangs = true);
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 3000)).run(1500);
        harness.workers.values().forEach(worker -> worker.hangs = false);
        runAndCheck(harness, 9000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.startCount(), 2);
    }

    @Test
    public void failsAJobAfterMaxAttempts() {
        OwnerHarness harness = new OwnerHarness().workers(4).takeOver();
        harness.run(500);
        harness.workers.values().forEach(worker -> worker.failsAllRuns = true);
        harness.submit("job", 1, OwnerHarness.tasks(1, 1, 3000)).run(60_000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.FAILED));
        assertEquals(harness.startCount(), 3);
    }

    @Test
    public void rerunsTasksOfAWorkerThatLeftOnceItsLeaseHasExpired() {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 20_000));
        harness.run(1500);
        FakeWorker holder = harness.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
        harness.list(holder, true);
        // Longer than the lease assumed at first contact, so that only that of a draining worker is left at the exit.
        runAndCheck(harness, 8500);
        holder.running.clear();
        holder.silent = true;
        harness.input(new OwnerInput.WorkerUnlisted(holder.id));
        runAndCheck(harness, 3500);
        assertEquals(harness.startCount(), 2);
        runAndCheck(harness, 20_500);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }
}
