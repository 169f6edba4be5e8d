package org.fuchsiawinch.workflow;

import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against starvation and needless preemption on a nearly full fleet, where a steady stream of small jobs
 * competes with large and urgent ones.
 */
public class BusyFleetTest {

    private static OwnerHarness fleet(int guaranteed) {
        OwnerHarness harness = new OwnerHarness().workers(16);
        harness.gangsSynchronized = true;
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), guaranteed));
        return harness.takeOver().run(500);
    }

    private static long running(OwnerHarness harness, String job) {
        return harness.workers.values().stream()
                .flatMap(worker -> worker.running.keySet().stream())
                .filter(run -> run.task().job().startsWith(job))
                .count();
    }

    private static long preemptions(OwnerHarness harness) {
        return harness.log.stream()
                .filter(line -> line.contains("cause, reclaimed"))
                .count();
    }

    @DataProvider
    public Object[][] largeWork() {
        return new Object[][] {{OwnerHarness.gang(8, 8, 4000)}, {OwnerHarness.tasks(1, 8, 4000)}};
    }

    @Test(dataProvider = "largeWork")
    public void smallJobsDoNotStarveLargeUnits(StepSpec large) {
        OwnerHarness harness = fleet(0);
        for (int i = 0; i < 16; i++) {
            harness.submit("first" + i, 2, OwnerHarness.tasks(9, 1, 2000 + 200 * i))
                    .run(50);
        }
        long submittedMs = harness.nowMs;
        harness.submit("large", 1, large);
        for (int i = 0; running(harness, "large") == 0 && i < 240; i++) {
            harness.submit("small" + i, 2, OwnerHarness.tasks(12, 1, 2000 + 300 * (i % 11)))
                    .run(250);
        }
        assertTrue(
                harness.nowMs - submittedMs <= 12_000,
                "the large unit waited " + (harness.nowMs - submittedMs) + " ms, limit 12000 ms");
    }

    @Test
    public void smallJobsBackfillBeforeAReservedGang() {
        OwnerHarness harness = fleet(0);
        harness.submit("first", 2, OwnerHarness.tasks(120, 1, 12_000)).run(200);
        harness.submit("gang", 1, OwnerHarness.gang(8, 8, 4000)).run(200);
        harness.submit("short", 2, OwnerHarness.tasks(8, 1, 1000)).run(300);
        assertEquals(running(harness, "short"), 8);
    }

    @Test
    public void urgentJobStartsAtOnceInTheHeadroom() {
        OwnerHarness harness = fleet(0);
        harness.submit("lent", 2, OwnerHarness.tasks(200, 1, 20_000)).run(1000);
        long preemptionsBefore = preemptions(harness);
        harness.submit("urgent", 0, OwnerHarness.gang(2, 8, 2000)).run(100);
        assertEquals(running(harness, "urgent"), 2);
        assertEquals(preemptions(harness), preemptionsBefore);
    }

    @Test
    public void tightJobUsesTheHeadroom() {
        OwnerHarness harness = fleet(0);
        harness.submit("lent", 2, OwnerHarness.tasks(112, 1, 20_000)).run(1000);
        harness.submit("tight", 1, OwnerHarness.step(2, 8, 400, true, false)).run(2500);
        assertTrue(
                harness.phase("tight")
                        .filter(phase -> phase == JobPhase.COMPLETED)
                        .isPresent(),
                "job tight has phase " + harness.phase("tight") + " after 2500 ms");
    }

    @Test
    public void urgentJobWithoutRemainingUtilityPreemptsNothing() {
        OwnerHarness harness = fleet(0);
        harness.submit("others", 0, OwnerHarness.tasks(128, 1, 8000)).run(300);
        harness.submit("late", 0, OwnerHarness.gang(4, 8, 500)).run(7000);
        harness.submit("lent", 2, OwnerHarness.tasks(128, 1, 20_000)).run(3500);
        assertEquals(preemptions(harness), 0);
    }

    @Test
    public void urgentJobAvoidsWorkersObservedAsSlow() {
        OwnerHarness harness = new OwnerHarness().workers(16);
        harness.gangsSynchronized = true;
        for (FakeWorker worker : harness.workers.values()) {
            worker.speed = worker.rack.equals("r0") ? 0.55 : 1.2;
        }
        harness.takeOver().run(500);
        harness.submit("first", 1, OwnerHarness.gang(16, 8, 2500)).run(6000);
        assertEquals(harness.phase("first"), Optional.of(JobPhase.COMPLETED));
        harness.submit("urgent", 0, OwnerHarness.gang(10, 8, 3000)).run(100);
        long slow = harness.workers.values().stream()
                .filter(worker -> worker.speed < 1 && !worker.running.isEmpty())
                .count();
        assertEquals(slow, 0);
    }

    @Test
    public void preemptsOneGangRatherThanMembersOfSeveral() {
        OwnerHarness harness = new OwnerHarness().workers(16);
        harness.headroomShare = 0;
        harness.gangsSynchronized = true;
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 32));
        harness.takeOver().run(500);
        for (int i = 0; i < 4; i++) {
            harness.submit("gang" + i, 1, OwnerHarness.gang(4, 8, 20_000)).run(300 * i);
        }
        for (int i = 0; i < 4; i++) {
            String gang = "gang" + i;
            harness.workers.values().stream()
                    .filter(worker -> worker.running.keySet().stream()
                            .anyMatch(run -> run.task().job().equals(gang)))
                    .findFirst()
                    .ifPresent(worker -> worker.changeSpeed(0.6));
        }
        harness.run(4000).submit("urgent", 0, OwnerHarness.gang(4, 8, 3000)).run(2000);
        assertEquals(running(harness, "urgent"), 4);
        assertEquals(running(harness, "gang"), 12);
        long gangStarts = harness.startCount() - 4;
        assertEquals(gangStarts, 16, "members of the other gangs were started again");
    }

    @Test
    public void preemptionAvoidsSlowWorkers() {
        OwnerHarness harness = new OwnerHarness().workers(16);
        harness.headroomShare = 0;
        harness.gangsSynchronized = true;
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 32));
        for (FakeWorker worker : harness.workers.values()) {
            worker.speed = worker.rack.equals("r0") ? 0.55 : 1.2;
        }
        harness.takeOver().run(500);
        harness.submit("lent", 2, OwnerHarness.step(16, 8, 40_000, false, true)).run(10_000);
        harness.submit("urgent", 0, OwnerHarness.gang(4, 8, 3000)).run(1500);
        assertEquals(running(harness, "urgent"), 4);
        long slow = harness.workers.values().stream()
                .filter(worker -> worker.speed < 1)
                .flatMap(worker -> worker.running.keySet().stream())
                .filter(run -> run.task().job().equals("urgent"))
                .count();
        assertEquals(slow, 0);
    }
}
