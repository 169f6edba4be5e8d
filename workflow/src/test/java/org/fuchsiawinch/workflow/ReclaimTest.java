package org.fuchsiawinch.workflow;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against late starts, too many victims and repeated preemption when a workspace reclaims its guarantee from a
 * fleet that is full of lent work.
 */
public class ReclaimTest {

    private static final long RECLAIM_MS = 2900;

    private static OwnerRig fullFleet(int guaranteed) {
        OwnerRig rig = new OwnerRig().workers(8);
        rig.headroomShare = 0;
        rig.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), guaranteed));
        rig.takeOver().run(500);
        rig.submit("lent", 2, OwnerRig.tasks(64, 1, 30_000)).run(1000);
        assertEquals(rig.running(), 64);
        return rig;
    }

    private static StepSpec sameRack(int count, int accelerators, boolean gang) {
        return new StepSpec(
                count,
                new Resources(1000, 1000, accelerators, 0, 0),
                30_000,
                List.of(),
                gang,
                true,
                false,
                0,
                Optional.empty(),
                Optional.empty());
    }

    private static long runningOf(OwnerRig rig, String job) {
        return rig.workers.values().stream()
                .flatMap(worker -> worker.running.keySet().stream())
                .filter(run -> run.task().job().equals(job))
                .count();
    }

    private static Set<String> racksOf(OwnerRig rig, String job) {
        return rig.workers.values().stream()
                .filter(worker -> worker.running.keySet().stream()
                        .anyMatch(run -> run.task().job().equals(job)))
                .map(worker -> worker.rack)
                .collect(Collectors.toSet());
    }

    @Test
    public void startsTasksWithinTheBound() {
        OwnerRig rig = fullFleet(24);
        rig.submit("urgent", 0, OwnerRig.tasks(3, 8, 5000)).run(RECLAIM_MS);
        assertEquals(runningOf(rig, "urgent"), 3);
    }

    @Test
    public void startsAGangOfOneRackWithinTheBound() {
        OwnerRig rig = fullFleet(24);
        rig.submit("urgent", 0, sameRack(3, 8, true)).run(RECLAIM_MS - 1000);
        assertEquals(runningOf(rig, "urgent"), 3);
        assertEquals(racksOf(rig, "urgent").size(), 1);
    }

    @Test
    public void spreadsAGangThatNoRackCanHold() {
        OwnerRig rig = fullFleet(40);
        rig.submit("urgent", 0, sameRack(5, 8, true)).run(RECLAIM_MS);
        assertEquals(runningOf(rig, "urgent"), 5);
    }

    @Test
    public void takesNoMoreThanItNeeds() {
        OwnerRig rig = fullFleet(24);
        rig.submit("urgent", 0, OwnerRig.tasks(3, 8, 5000)).run(RECLAIM_MS);
        long lent = runningOf(rig, "lent");
        assertTrue(lent >= 64 - 24, lent + " lent tasks run on");
    }

    @Test
    public void leavesLentWorkAloneBeyondTheGuaranteeWhenMoreIsLostThanGained() {
        OwnerRig rig = fullFleet(8);
        rig.run(23_000);
        rig.submit("urgent", 0, OwnerRig.tasks(3, 8, 5000)).run(RECLAIM_MS);
        assertEquals(runningOf(rig, "lent"), 64);
        assertEquals(runningOf(rig, "urgent"), 0);
    }

    @Test
    public void takesYoungLentWorkBeyondTheGuaranteeWhenMoreIsGained() {
        OwnerRig rig = fullFleet(8);
        rig.submit("urgent", 0, OwnerRig.tasks(3, 8, 5000)).run(RECLAIM_MS);
        assertEquals(runningOf(rig, "urgent"), 3);
        assertEquals(runningOf(rig, "lent"), 64 - 24);
    }

    @Test
    public void urgentWorkBeyondTheGuaranteeStopsNoOtherUrgentWork() {
        OwnerRig rig = new OwnerRig().workers(8);
        rig.takeOver().run(500);
        rig.submit("first", 0, OwnerRig.tasks(64, 1, 30_000)).run(1000);
        rig.submit("second", 0, OwnerRig.tasks(3, 8, 5000)).run(RECLAIM_MS);
        assertEquals(runningOf(rig, "first"), 64);
    }

    @Test
    public void doesNotStopTheSameGangAgainAndAgain() {
        OwnerRig rig = new OwnerRig().workers(8);
        rig.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 16));
        rig.takeOver().run(500);
        rig.submit("gang", 1, OwnerRig.gang(4, 8, 9000)).run(300);
        rig.submit("tasks", 1, OwnerRig.tasks(4, 8, 9000)).run(700);
        for (int i = 0; i < 8; i++) {
            rig.submit("urgent" + i, 0, OwnerRig.tasks(1, 8, 1000)).run(2500);
        }
        long gangRuns = rig.workers.values().stream()
                .flatMap(worker -> worker.startedRuns.stream())
                .filter(run -> run.task().job().equals("gang"))
                .count();
        assertTrue(gangRuns <= 8, gangRuns + " runs of the gang's members");
    }

    @Test
    public void keepsToTheWorkersOfAClaimWhenARunThereEndsLaterThanExpected() {
        for (int offsetMs = 0; offsetMs < 2000; offsetMs += 100) {
            OwnerRig rig = fullFleet(8);
            for (FakeWorker worker : rig.workers.values()) {
                TaskRun overdue = worker.running.keySet().stream()
                        .min(Comparator.comparing(TaskRun::toString))
                        .orElseThrow();
                worker.stuck.put(overdue, worker.id.value().equals("w0") ? 99 : 97);
            }
            rig.run(1000 + offsetMs);
            rig.submit("urgent", 0, OwnerRig.tasks(1, 8, 5000)).run(RECLAIM_MS);
            assertEquals(runningOf(rig, "urgent"), 1);
            long stops =
                    rig.log.stream().filter(line -> line.contains("reclaimed")).count();
            assertTrue(stops <= 8, stops + " stops at offset " + offsetMs);
        }
    }
}
