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

    private static OwnerRig fleet(int guaranteed) {
        OwnerRig rig = new OwnerRig().workers(16);
        rig.gangsEndTogether = true;
        rig.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), guaranteed));
        return rig.takeOver().run(500);
    }

    private static long running(OwnerRig rig, String job) {
        return rig.workers.values().stream()
                .flatMap(worker -> worker.running.keySet().stream())
                .filter(run -> run.task().job().startsWith(job))
                .count();
    }

    private static long stops(OwnerRig rig) {
        return rig.log.stream()
                .filter(line -> line.contains("cause, reclaimed"))
                .count();
    }

    @DataProvider
    public Object[][] largeWork() {
        return new Object[][] {{OwnerRig.gang(8, 8, 4000)}, {OwnerRig.tasks(1, 8, 4000)}};
    }

    @Test(dataProvider = "largeWork")
    public void largeWorkIsNotStarvedByAStreamOfSmallJobs(StepSpec large) {
        OwnerRig rig = fleet(0);
        for (int i = 0; i < 16; i++) {
            rig.submit("first" + i, 2, OwnerRig.tasks(9, 1, 2000 + 200 * i)).run(50);
        }
        long sentMs = rig.nowMs;
        rig.submit("large", 1, large);
        for (int i = 0; running(rig, "large") == 0 && i < 240; i++) {
            rig.submit("small" + i, 2, OwnerRig.tasks(12, 1, 2000 + 300 * (i % 11)))
                    .run(250);
        }
        assertTrue(rig.nowMs - sentMs <= 12_000, "it waited " + (rig.nowMs - sentMs) + " ms");
    }

    @Test
    public void smallJobsRunBesideAWaitingGangWhereTheyEndBeforeItStarts() {
        OwnerRig rig = fleet(0);
        rig.submit("first", 2, OwnerRig.tasks(120, 1, 12_000)).run(200);
        rig.submit("gang", 1, OwnerRig.gang(8, 8, 4000)).run(200);
        rig.submit("short", 2, OwnerRig.tasks(8, 1, 1000)).run(300);
        assertEquals(running(rig, "short"), 8);
    }

    @Test
    public void anUrgentJobFindsRoomAtOnceBesideWorkThatCanWait() {
        OwnerRig rig = fleet(0);
        rig.submit("lent", 2, OwnerRig.tasks(200, 1, 20_000)).run(1000);
        long before = stops(rig);
        rig.submit("urgent", 0, OwnerRig.gang(2, 8, 2000)).run(100);
        assertEquals(running(rig, "urgent"), 2);
        assertEquals(stops(rig), before);
    }

    @Test
    public void workThatCannotWaitTakesTheRoomThatIsKeptForUrgentJobs() {
        OwnerRig rig = fleet(0);
        rig.submit("lent", 2, OwnerRig.tasks(112, 1, 20_000)).run(1000);
        rig.submit("tight", 1, OwnerRig.step(2, 8, 400, true, false)).run(2500);
        assertTrue(
                rig.phase("tight").filter(phase -> phase == JobPhase.COMPLETED).isPresent(), "the job waited too long");
    }

    @Test
    public void anUrgentJobThatPaysNothingAnyMoreStopsNothing() {
        OwnerRig rig = fleet(0);
        rig.submit("others", 0, OwnerRig.tasks(128, 1, 8000)).run(300);
        rig.submit("late", 0, OwnerRig.gang(4, 8, 500)).run(7000);
        rig.submit("lent", 2, OwnerRig.tasks(128, 1, 20_000)).run(3500);
        assertEquals(stops(rig), 0);
    }

    @Test
    public void urgentWorkAvoidsSlowWorkersAfterOneJobHasRunThere() {
        OwnerRig rig = new OwnerRig().workers(16);
        rig.gangsEndTogether = true;
        for (FakeWorker worker : rig.workers.values()) {
            worker.speed = worker.rack.equals("r0") ? 0.55 : 1.2;
        }
        rig.takeOver().run(500);
        rig.submit("first", 1, OwnerRig.gang(16, 8, 2500)).run(6000);
        assertEquals(rig.phase("first"), Optional.of(JobPhase.COMPLETED));
        rig.submit("urgent", 0, OwnerRig.gang(10, 8, 3000)).run(100);
        long slow = rig.workers.values().stream()
                .filter(worker -> worker.speed < 1 && !worker.running.isEmpty())
                .count();
        assertEquals(slow, 0);
    }

    @Test
    public void aClaimBreaksOneGangRatherThanMembersOfSeveral() {
        OwnerRig rig = new OwnerRig().workers(16);
        rig.headroomShare = 0;
        rig.gangsEndTogether = true;
        rig.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 32));
        rig.takeOver().run(500);
        for (int i = 0; i < 4; i++) {
            rig.submit("gang" + i, 1, OwnerRig.gang(4, 8, 20_000)).run(300 * i);
        }
        for (int i = 0; i < 4; i++) {
            String gang = "gang" + i;
            rig.workers.values().stream()
                    .filter(worker -> worker.running.keySet().stream()
                            .anyMatch(run -> run.task().job().equals(gang)))
                    .findFirst()
                    .ifPresent(worker -> worker.turn(0.6));
        }
        rig.run(4000).submit("urgent", 0, OwnerRig.gang(4, 8, 3000)).run(2000);
        assertEquals(running(rig, "urgent"), 4);
        assertEquals(running(rig, "gang"), 12);
        long gangStarts = rig.starts() - 4;
        assertEquals(gangStarts, 16, "the other gangs run on");
    }

    @Test
    public void aClaimPassesOverSlowWorkers() {
        OwnerRig rig = new OwnerRig().workers(16);
        rig.headroomShare = 0;
        rig.gangsEndTogether = true;
        rig.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 32));
        for (FakeWorker worker : rig.workers.values()) {
            worker.speed = worker.rack.equals("r0") ? 0.55 : 1.2;
        }
        rig.takeOver().run(500);
        rig.submit("lent", 2, OwnerRig.step(16, 8, 40_000, false, true)).run(10_000);
        rig.submit("urgent", 0, OwnerRig.gang(4, 8, 3000)).run(1500);
        assertEquals(running(rig, "urgent"), 4);
        long slow = rig.workers.values().stream()
                .filter(worker -> worker.speed < 1)
                .flatMap(worker -> worker.running.keySet().stream())
                .filter(run -> run.task().job().equals("urgent"))
                .count();
        assertEquals(slow, 0);
    }
}
