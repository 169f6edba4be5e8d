package org.fuchsiawinch.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.testng.Assert;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against runs that are given up, and so started again elsewhere, although their worker still runs them. */
public class GivenUpRunTest {

    private static FakeWorker holder(OwnerHarness harness) {
        return harness.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static void runAndCheck(OwnerHarness harness, long forMs) {
        for (long ms = 0; ms < forMs; ms += 10) {
            harness.run(10);
            harness.workers.values().forEach(FakeWorker::expire);
            Map<TaskRef, TaskRun> seen = new HashMap<>();
            for (FakeWorker worker : harness.workers.values()) {
                for (TaskRun run : worker.running.keySet()) {
                    TaskRun other = seen.put(run.task(), run);
                    Assert.assertNull(other, run + " and " + other + " run concurrently at " + harness.nowMs);
                }
            }
        }
    }

    /** Guards against a second run of a task whose draining worker is no longer listed but still runs it. */
    @Test
    public void keepsRunsOfADrainingWorkerWhoseEntryExpired() {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 6000));
        harness.run(1500);
        FakeWorker holder = holder(harness);
        harness.list(holder, true);
        harness.input(new OwnerInput.WorkerUnlisted(holder.id));
        runAndCheck(harness, 8000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.startCount(), 1);
    }

    /** Guards against a second run of a task that a restarted worker has started before it reported its restart. */
    @Test
    public void keepsRunsStartedByARestartedWorkerBeforeItsFirstReport() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver();
        harness.run(500);
        harness.workers.values().forEach(FakeWorker::restart);
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 4000));
        runAndCheck(harness, 8000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.startCount(), 1);
    }

    /** Guards against a second run of a task on a restarted worker that reports another run's end with its restart. */
    @Test
    public void keepsRunsOfARestartedWorkerWhileAnEndIsBeingStored() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver();
        harness.run(500);
        harness.workers.values().forEach(FakeWorker::restart);
        harness.submit("short", 1, OwnerHarness.tasks(1, 4, 300));
        harness.submit("long", 1, OwnerHarness.tasks(1, 4, 6000)).run(200);
        harness.storeDown = true;
        harness.run(450);
        harness.storeDown = false;
        runAndCheck(harness, 9000);
        assertEquals(harness.phase("short"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.phase("long"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.startCount(), 2);
    }

    /** Guards against ends that are never acknowledged since their worker's entry expired before. */
    @Test
    public void acknowledgesTheLastEndOfAWorkerWhoseEntryExpired() {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 3000));
        harness.run(1500);
        FakeWorker holder = holder(harness);
        harness.list(holder, true);
        harness.input(new OwnerInput.WorkerUnlisted(holder.id));
        harness.run(4000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(holder.unacknowledgedEnds(), 0);
    }
}
