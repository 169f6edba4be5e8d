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

    private static FakeWorker only(OwnerRig rig) {
        return rig.workers.values().iterator().next();
    }

    private static void assertNoTaskRunsTwice(OwnerRig rig) {
        Map<TaskRef, TaskRun> seen = new HashMap<>();
        for (FakeWorker worker : rig.workers.values()) {
            for (TaskRun run : worker.running.keySet()) {
                TaskRun other = seen.put(run.task(), run);
                assertTrue(other == null, run + " and " + other + " at " + rig.nowMs);
            }
        }
    }

    private static void runChecked(OwnerRig rig, long forMs) {
        for (long ms = 0; ms < forMs; ms += 20) {
            rig.run(20);
            rig.workers.values().forEach(FakeWorker::expire);
            assertNoTaskRunsTwice(rig);
        }
    }

    @Test
    public void storesAnAssignmentBeforeItsOrder() {
        OwnerRig rig = new OwnerRig().workers(2).takeOver();
        rig.run(500);
        rig.storeDown = true;
        rig.submit("job", 1, OwnerRig.tasks(2, 2, 1000)).run(1000);
        assertEquals(rig.starts(), 0);
        rig.storeDown = false;
        rig.run(3000);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    @Test
    public void waitsForTheLeaseOfASilentWorker() {
        OwnerRig rig = new OwnerRig().workers(2).takeOver().submit("job", 1, OwnerRig.tasks(1, 8, 20_000));
        rig.run(1500);
        FakeWorker holder = rig.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
        holder.silent = true;
        runChecked(rig, 4000);
        assertEquals(rig.starts(), 1);
        runChecked(rig, 5000);
        assertEquals(rig.starts(), 2);
    }

    @Test
    public void confirmsAStartWhoseAnswerIsLost() {
        OwnerRig rig = new OwnerRig().workers(2).takeOver();
        rig.run(500);
        rig.workers.values().forEach(worker -> worker.losesStartAnswers = true);
        rig.submit("job", 1, OwnerRig.tasks(2, 8, 3000));
        runChecked(rig, 6000);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    @Test
    public void runsWorkAgainAfterItsWorkerRestarted() {
        OwnerRig rig = new OwnerRig().workers(1).takeOver().submit("job", 1, OwnerRig.tasks(2, 4, 3000));
        rig.run(1500);
        only(rig).restart();
        runChecked(rig, 6000);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(rig.starts(), 4);
    }

    @Test
    public void stopsAnOrderThatIsCarriedOutLate() {
        OwnerRig rig = new OwnerRig().workers(2).takeOver().submit("job", 1, OwnerRig.tasks(1, 8, 10_000));
        rig.run(1500);
        FakeWorker idle = rig.workers.values().stream()
                .filter(worker -> worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
        idle.begin(new TaskRun(new TaskRef("job", 0, 0), 7));
        rig.run(2500);
        assertTrue(idle.running.isEmpty());
    }

    @Test
    public void aMemberThatHasDoneItsPartWaitsForTheSlowest() {
        OwnerRig rig = new OwnerRig().workers(2).takeOver();
        rig.run(500);
        only(rig).speed = 4;
        rig.gangsEndTogether = true;
        rig.submit("job", 1, OwnerRig.gang(2, 8, 8000));
        runChecked(rig, 12_000);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(rig.starts(), 2);
    }

    @Test
    public void movesARunThatStandsStill() {
        OwnerRig rig = new OwnerRig().workers(2).takeOver();
        rig.run(500);
        rig.workers.values().forEach(worker -> worker.hangs = true);
        rig.submit("job", 1, OwnerRig.tasks(1, 8, 3000)).run(1500);
        rig.workers.values().forEach(worker -> worker.hangs = false);
        runChecked(rig, 9000);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(rig.starts(), 2);
    }

    @Test
    public void failsAJobAfterItsAttempts() {
        OwnerRig rig = new OwnerRig().workers(4).takeOver();
        rig.run(500);
        rig.workers.values().forEach(worker -> worker.failsAll = true);
        rig.submit("job", 1, OwnerRig.tasks(1, 1, 3000)).run(60_000);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.FAILED));
        assertEquals(rig.starts(), 3);
    }

    @Test
    public void givesWorkOfAWorkerThatLeftToAnother() {
        OwnerRig rig = new OwnerRig().workers(2).takeOver().submit("job", 1, OwnerRig.tasks(1, 8, 3000));
        rig.run(1500);
        FakeWorker holder = rig.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
        rig.list(holder, true);
        holder.running.clear();
        holder.silent = true;
        rig.input(new OwnerInput.WorkerUnlisted(holder.id));
        rig.run(3500);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.COMPLETED));
    }
}
