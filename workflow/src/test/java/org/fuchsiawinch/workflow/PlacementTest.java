package org.fuchsiawinch.workflow;

import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against urgent short jobs that miss their objective on slow workers while long jobs with time to spare hold
 * the fast ones. The workers differ in speed, and the urgent jobs arrive in a burst.
 */
public class PlacementTest {

    private static OwnerRig unevenFleet() {
        OwnerRig rig = new OwnerRig().workers(8);
        rig.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 32));
        for (FakeWorker worker : rig.workers.values()) {
            worker.speed = worker.rack.equals("r1") ? 1.7 : 0.7;
        }
        rig.takeOver().run(500);
        for (int round = 0; round < 4; round++) {
            rig.submit("warm" + round, 2, OwnerRig.tasks(8, 8, 4000)).run(8000);
        }
        return rig;
    }

    private static long onFastWorkers(OwnerRig rig, String job) {
        return rig.workers.values().stream()
                .filter(worker -> worker.speed > 1)
                .flatMap(worker -> worker.running.keySet().stream())
                .filter(run -> run.task().job().equals(job))
                .count();
    }

    @Test
    public void longWorkWithTimeToSpareLeavesTheFastWorkersFree() {
        OwnerRig rig = unevenFleet();
        rig.submit("long", 2, OwnerRig.tasks(4, 8, 2000), OwnerRig.tasks(1, 0, 20_000))
                .run(300);
        assertEquals(onFastWorkers(rig, "long"), 0);
    }

    @Test
    public void urgentWorkTakesTheFastWorkers() {
        OwnerRig rig = unevenFleet();
        rig.submit("urgent", 0, OwnerRig.tasks(4, 8, 4000)).run(300);
        assertEquals(onFastWorkers(rig, "urgent"), 4);
    }

    @Test
    public void aBurstOfUrgentJobsIsInTimeBesideLongOnes() {
        OwnerRig rig = unevenFleet();
        rig.submit("long", 2, OwnerRig.tasks(32, 2, 20_000)).run(1000);
        long sentMs = rig.nowMs;
        for (int i = 0; i < 4; i++) {
            rig.submit("urgent" + i, 0, OwnerRig.tasks(1, 8, 3000));
        }
        rig.run(5000 - (rig.nowMs - sentMs));
        for (int i = 0; i < 4; i++) {
            assertEquals(rig.phase("urgent" + i), Optional.of(JobPhase.COMPLETED));
        }
        assertTrue(rig.running() > 0);
    }

    @Test
    public void waitingForTheGangDoesNotCountAgainstAFastWorker() {
        OwnerRig rig = new OwnerRig().workers(8);
        rig.gangsEndTogether = true;
        rig.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 32));
        for (FakeWorker worker : rig.workers.values()) {
            worker.speed = worker.rack.equals("r0") ? 1.7 : 0.4;
        }
        rig.takeOver().run(500);
        for (int round = 0; round < 3; round++) {
            rig.submit("gang" + round, 1, OwnerRig.gang(8, 8, 4000)).run(12_000);
        }
        rig.submit("urgent", 0, OwnerRig.tasks(4, 8, 4000)).run(300);
        assertEquals(onFastWorkers(rig, "urgent"), 4);
    }

    @Test
    public void aNewOwnerKnowsTheSpeedsThatTheLastOneLearned() {
        OwnerRig rig = unevenFleet();
        rig.takeOver().run(300);
        rig.submit("urgent", 0, OwnerRig.tasks(4, 8, 4000)).run(300);
        assertEquals(onFastWorkers(rig, "urgent"), 4);
    }
}
