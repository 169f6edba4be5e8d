package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against urgent short jobs that miss their objective on slow workers while long jobs with time to spare hold
 * the fast ones. The workers differ in speed, and the urgent jobs arrive in a burst. Also guards against speed
 * estimates that gang members lower by waiting for each other, or that are lost at a takeover.
 */
public class PlacementTest {

    private static OwnerHarness fleetOfMixedSpeeds() {
        OwnerHarness harness = new OwnerHarness().workers(8);
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 32));
        for (FakeWorker worker : harness.workers.values()) {
            worker.speed = worker.rack.equals("r1") ? 1.7 : 0.7;
        }
        harness.takeOver().run(500);
        for (int round = 0; round < 4; round++) {
            harness.submit("warm" + round, 2, OwnerHarness.tasks(8, 8, 4000)).run(8000);
        }
        return harness;
    }

    private static long onFastWorkers(OwnerHarness harness, String job) {
        return harness.workers.values().stream()
                .filter(worker -> worker.speed > 1)
                .flatMap(worker -> worker.running.keySet().stream())
                .filter(run -> run.task().job().equals(job))
                .count();
    }

    @Test
    public void longJobWithSlackLeavesFastWorkersFree() {
        OwnerHarness harness = fleetOfMixedSpeeds();
        harness.submit("long", 2, OwnerHarness.tasks(4, 8, 2000), OwnerHarness.tasks(1, 0, 20_000))
                .run(300);
        assertEquals(onFastWorkers(harness, "long"), 0);
    }

    @Test
    public void urgentJobUsesFastWorkers() {
        OwnerHarness harness = fleetOfMixedSpeeds();
        harness.submit("urgent", 0, OwnerHarness.tasks(4, 8, 4000)).run(300);
        assertEquals(onFastWorkers(harness, "urgent"), 4);
    }

    @Test
    public void urgentBurstMeetsItsObjectiveBesideLongJobs() {
        OwnerHarness harness = fleetOfMixedSpeeds();
        harness.submit("long", 2, OwnerHarness.tasks(32, 2, 20_000)).run(1000);
        long submittedMs = harness.nowMs;
        for (int i = 0; i < 4; i++) {
            harness.submit("urgent" + i, 0, OwnerHarness.tasks(1, 8, 3000));
        }
        harness.run(5000 - (harness.nowMs - submittedMs));
        for (int i = 0; i < 4; i++) {
            assertEquals(harness.phase("urgent" + i), Optional.of(JobPhase.COMPLETED));
        }
        assertTrue(harness.runningCount() > 0);
    }

    @Test
    public void waitingForAGangDoesNotLowerTheSpeedEstimate() {
        OwnerHarness harness = new OwnerHarness().workers(8);
        harness.gangsSynchronized = true;
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 32));
        for (FakeWorker worker : harness.workers.values()) {
            worker.speed = worker.rack.equals("r0") ? 1.7 : 0.4;
        }
        harness.takeOver().run(500);
        for (int round = 0; round < 3; round++) {
            harness.submit("gang" + round, 1, OwnerHarness.gang(8, 8, 4000)).run(12_000);
        }
        harness.submit("urgent", 0, OwnerHarness.tasks(4, 8, 4000)).run(300);
        assertEquals(onFastWorkers(harness, "urgent"), 4);
    }

    @Test
    public void newOwnerInheritsLearnedSpeeds() {
        OwnerHarness harness = fleetOfMixedSpeeds();
        harness.takeOver().run(300);
        harness.submit("urgent", 0, OwnerHarness.tasks(4, 8, 4000)).run(300);
        assertEquals(onFastWorkers(harness, "urgent"), 4);
    }

    /** Guards against a job that waits because another one of its shape has all the tasks a worker may run of a step. */
    @Test
    public void limitOnTasksPerWorkerHoldsBackNoOtherJob() {
        OwnerHarness harness = new OwnerHarness().workers(4);
        harness.headroomShare = 0;
        harness.takeOver().run(500);
        StepSpec spread = new StepSpec(
                8,
                new Resources(1000, 1000, 3, 0, 0),
                20_000,
                List.of(),
                false,
                false,
                false,
                1,
                Optional.empty(),
                Optional.empty());
        harness.submit("first", 1, spread).run(200);
        harness.submit("second", 1, spread).run(200);
        assertEquals(harness.runningCount(), 8, "four tasks of each job");
    }
}
