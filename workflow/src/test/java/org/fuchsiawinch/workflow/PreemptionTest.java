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
public class PreemptionTest {

    private static final long RECLAIM_BOUND_MS = 2900;

    private static OwnerHarness fullFleet(int guaranteed) {
        OwnerHarness harness = new OwnerHarness().workers(8);
        harness.headroomShare = 0;
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), guaranteed));
        harness.takeOver().run(500);
        harness.submit("lent", 2, OwnerHarness.tasks(64, 1, 30_000)).run(1000);
        assertEquals(harness.runningCount(), 64);
        return harness;
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

    private static long runningOf(OwnerHarness harness, String job) {
        return harness.workers.values().stream()
                .flatMap(worker -> worker.running.keySet().stream())
                .filter(run -> run.task().job().equals(job))
                .count();
    }

    private static Set<String> racksOf(OwnerHarness harness, String job) {
        return harness.workers.values().stream()
                .filter(worker -> worker.running.keySet().stream()
                        .anyMatch(run -> run.task().job().equals(job)))
                .map(worker -> worker.rack)
                .collect(Collectors.toSet());
    }

    @Test
    public void startsTasksWithinTheReclaimBound() {
        OwnerHarness harness = fullFleet(24);
        harness.submit("urgent", 0, OwnerHarness.tasks(3, 8, 5000)).run(RECLAIM_BOUND_MS);
        assertEquals(runningOf(harness, "urgent"), 3);
    }

    @Test
    public void startsASameRackGangWithinTheReclaimBound() {
        OwnerHarness harness = fullFleet(24);
        harness.submit("urgent", 0, sameRack(3, 8, true)).run(RECLAIM_BOUND_MS - 1000);
        assertEquals(runningOf(harness, "urgent"), 3);
        assertEquals(racksOf(harness, "urgent").size(), 1);
    }

    @Test
    public void spreadsAGangThatNoRackCanHold() {
        OwnerHarness harness = fullFleet(40);
        harness.submit("urgent", 0, sameRack(5, 8, true)).run(RECLAIM_BOUND_MS);
        assertEquals(runningOf(harness, "urgent"), 5);
    }

    @Test
    public void preemptsNoMoreThanNeeded() {
        OwnerHarness harness = fullFleet(24);
        harness.submit("urgent", 0, OwnerHarness.tasks(3, 8, 5000)).run(RECLAIM_BOUND_MS);
        long lent = runningOf(harness, "lent");
        assertTrue(lent >= 64 - 24, lent + " lent tasks still run");
    }

    @Test
    public void beyondTheGuaranteeKeepsLentWorkIfTheLossExceedsTheGain() {
        OwnerHarness harness = fullFleet(8);
        harness.run(23_000);
        harness.submit("urgent", 0, OwnerHarness.tasks(3, 8, 5000)).run(RECLAIM_BOUND_MS);
        assertEquals(runningOf(harness, "lent"), 64);
        assertEquals(runningOf(harness, "urgent"), 0);
    }

    @Test
    public void beyondTheGuaranteePreemptsYoungLentWorkIfTheGainExceedsTheLoss() {
        OwnerHarness harness = fullFleet(8);
        harness.submit("urgent", 0, OwnerHarness.tasks(3, 8, 5000)).run(RECLAIM_BOUND_MS);
        assertEquals(runningOf(harness, "urgent"), 3);
        assertEquals(runningOf(harness, "lent"), 64 - 24);
    }

    @Test
    public void beyondTheGuaranteePreemptsNoOtherUrgentWork() {
        OwnerHarness harness = new OwnerHarness().workers(8);
        harness.takeOver().run(500);
        harness.submit("first", 0, OwnerHarness.tasks(64, 1, 30_000)).run(1000);
        harness.submit("second", 0, OwnerHarness.tasks(3, 8, 5000)).run(RECLAIM_BOUND_MS);
        assertEquals(runningOf(harness, "first"), 64);
    }

    @Test
    public void doesNotPreemptTheSameGangRepeatedly() {
        OwnerHarness harness = new OwnerHarness().workers(8);
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 16));
        harness.takeOver().run(500);
        harness.submit("gang", 1, OwnerHarness.gang(4, 8, 9000)).run(300);
        harness.submit("tasks", 1, OwnerHarness.tasks(4, 8, 9000)).run(700);
        for (int i = 0; i < 8; i++) {
            harness.submit("urgent" + i, 0, OwnerHarness.tasks(1, 8, 1000)).run(2500);
        }
        long gangRuns = harness.workers.values().stream()
                .flatMap(worker -> worker.startedRuns.stream())
                .filter(run -> run.task().job().equals("gang"))
                .count();
        assertTrue(gangRuns <= 8, gangRuns + " starts of the gang's members");
    }

    @Test
    public void keepsTheClaimedWorkersWhenARunOverrunsItsForecast() {
        for (int offsetMs = 0; offsetMs < 2000; offsetMs += 100) {
            OwnerHarness harness = fullFleet(8);
            for (FakeWorker worker : harness.workers.values()) {
                TaskRun overdue = worker.running.keySet().stream()
                        .min(Comparator.comparing(TaskRun::toString))
                        .orElseThrow();
                // Reports near completion, so that it looks about to end at some of the offsets, but runs on.
                worker.frozenPercent.put(overdue, worker.id.value().equals("w0") ? 99 : 97);
            }
            harness.run(1000 + offsetMs);
            harness.submit("urgent", 0, OwnerHarness.tasks(1, 8, 5000)).run(RECLAIM_BOUND_MS);
            assertEquals(runningOf(harness, "urgent"), 1);
            long preemptions = harness.log.stream()
                    .filter(line -> line.contains("reclaimed"))
                    .count();
            assertTrue(preemptions <= 8, preemptions + " preemptions at offset " + offsetMs);
        }
    }
}
