package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a faulty worker that keeps getting work, and against healthy workers that are quarantined since jobs
 * have failed on them that fail everywhere, or for longer than one quarantine since many runs failed at once.
 */
public class WorkerQuarantineTest {

    private static final WorkerId FAULTY = new WorkerId("w0");

    /** Jobs whose ids begin with {@code poison} fail halfway; all others succeed after a second. */
    private static final class PoisonedJobs implements OwnerHarness.GroundTruth {

        @Override
        public double workMs(TaskRef task) {
            return 1000;
        }

        @Override
        public double failsAt(TaskRun run) {
            return run.task().job().startsWith("poison") ? 0.5 : 2;
        }
    }

    private static OwnerHarness harness(int workers) {
        OwnerHarness harness = new OwnerHarness().workers(workers).takeOver();
        harness.groundTruth = new PoisonedJobs();
        return harness.run(500);
    }

    private static List<String> quarantinedWorkers(OwnerHarness harness) {
        return harness.lines.of("worker-quarantined").stream()
                .map(line -> line.get("worker"))
                .toList();
    }

    private static Map<WorkerId, Integer> startsByWorker(OwnerHarness harness) {
        Map<WorkerId, Integer> starts = new TreeMap<>();
        harness.workers.forEach((id, worker) -> starts.put(id, worker.startedRuns.size()));
        return starts;
    }

    @Test
    public void quarantinesAWorkerOnWhichDifferentJobsFail() {
        OwnerHarness harness = harness(4);
        harness.workers.get(FAULTY).failsAllRuns = true;
        for (int i = 0; i < 16; i++) {
            harness.submit("good" + i, 1, OwnerHarness.tasks(1, 4, 1000));
        }
        harness.run(2000);
        assertEquals(quarantinedWorkers(harness), List.of(FAULTY.toString()));
        int starts = startsByWorker(harness).get(FAULTY);
        harness.submit("late", 1, OwnerHarness.tasks(8, 4, 1000)).run(500);
        assertEquals((int) startsByWorker(harness).get(FAULTY), starts);
        harness.run(10_000);
        for (int i = 0; i < 16; i++) {
            assertEquals(harness.phase("good" + i), Optional.of(JobPhase.COMPLETED));
        }
    }

    @Test
    public void quarantinesAWorkerOnWhichTasksOfAJobFailThatRunElsewhere() {
        OwnerHarness harness = harness(4);
        harness.workers.get(FAULTY).failsAllRuns = true;
        harness.submit("good", 1, OwnerHarness.tasks(32, 1, 1000)).run(1000);
        assertEquals(quarantinedWorkers(harness), List.of(FAULTY.toString()));
        harness.run(20_000);
        assertEquals(harness.phase("good"), Optional.of(JobPhase.COMPLETED));
    }

    @Test
    public void endsQuarantinesForJobsThatFailOnMostWorkers() {
        OwnerHarness harness = harness(4);
        for (int i = 0; i < 3; i++) {
            harness.submit("poison" + i, 1, OwnerHarness.tasks(32, 1, 1000));
        }
        harness.runUntil(() -> harness.phase("poison2").equals(Optional.of(JobPhase.FAILED)));
        harness.run(2500);
        Map<String, String> load = harness.lines
                .of("owner-load")
                .get(harness.lines.of("owner-load").size() - 1);
        assertEquals(load.get("quarantined"), "0");
        assertEquals(load.get("usable"), "4");
    }

    @Test
    public void quarantinesOnceForRunsThatFailTogether() {
        OwnerHarness harness = harness(2);
        harness.workers.get(FAULTY).failsAllRuns = true;
        harness.submit("good", 1, OwnerHarness.tasks(16, 1, 1000)).run(2000);
        assertEquals(quarantinedWorkers(harness), List.of(FAULTY.toString()));
        int starts = startsByWorker(harness).get(FAULTY);
        harness.submit("next", 1, OwnerHarness.tasks(64, 1, 1000)).run(3500);
        assertTrue(startsByWorker(harness).get(FAULTY) > starts, "not tried again after one quarantine");
    }

    @Test
    public void usesQuarantinedWorkersIfMostAreQuarantined() {
        OwnerHarness harness = harness(1);
        harness.submit("poison", 1, OwnerHarness.tasks(8, 1, 1000));
        harness.runUntil(() -> harness.phase("poison").equals(Optional.of(JobPhase.FAILED)));
        harness.submit("good", 1, OwnerHarness.tasks(1, 1, 1000)).run(3000);
        assertEquals(harness.phase("good"), Optional.of(JobPhase.COMPLETED));
    }
}
