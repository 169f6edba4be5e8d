package org.fuchsiawinch.workflow;

import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.WorkerReport;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that a task that ran twice is logged and counted once, and that other reports are not. */
public class DuplicateRunTest {

    private static FakeWorker holder(OwnerHarness harness) {
        return harness.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static int duplicates(OwnerHarness harness) {
        return harness.counts.getOrDefault("runs.duplicate", 0);
    }

    @Test
    public void runOfAnUnlistedWorkerIsNotRepeated() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver();
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 8000)).run(1500);
        FakeWorker first = holder(harness);
        harness.list(first, true);
        harness.input(new OwnerInput.WorkerUnlisted(first.id));
        harness.run(300);
        harness.list(first, true);
        harness.run(20_000);
        assertTrue(harness.lines.of("duplicate-run").isEmpty());
        assertEquals(duplicates(harness), 0);
        assertEquals(harness.startCount(), 1);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    @Test
    public void namesTheWorkerAndStageOfTheOtherRun() {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 10_000));
        harness.run(1500);
        FakeWorker holder = holder(harness);
        FakeWorker idle = harness.workers.values().stream()
                .filter(worker -> worker != holder)
                .findFirst()
                .orElseThrow();
        idle.begin(new TaskRun(new TaskRef("job", 0, 0), 7));
        harness.run(2500);
        Map<String, String> line = harness.lines.only("duplicate-run");
        assertEquals(line.get("run"), "job/0/0#7");
        assertEquals(line.get("worker"), idle.id.toString());
        assertEquals(line.get("reported"), "RUNNING");
        assertEquals(line.get("otherRun"), "job/0/0#1");
        assertEquals(line.get("otherWorker"), holder.id.toString());
        assertEquals(line.get("otherStage"), "RUNNING");
        assertEquals(line.get("request"), "job");
        assertEquals(duplicates(harness), 1);
    }

    @Test
    public void runThatIsDoneAfterAnotherRunOfItsTaskIsLogged() {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 1000));
        harness.run(3000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        FakeWorker doneBy = harness.workers.values().stream()
                .filter(worker -> !worker.startedRuns.isEmpty())
                .findFirst()
                .orElseThrow();
        FakeWorker other = harness.workers.values().stream()
                .filter(worker -> worker != doneBy)
                .findFirst()
                .orElseThrow();
        TaskRun late = new TaskRun(new TaskRef("job", 0, 0), 7);
        other.begin(late);
        other.end(other.running.get(late), WorkerReport.RunEnd.DONE);
        harness.run(3000);
        Map<String, String> line = harness.lines.only("duplicate-run");
        assertEquals(line.get("reported"), "DONE");
        assertEquals(line.get("otherStage"), "DONE");
        assertEquals(line.get("otherRun"), "job/0/0#1");
        assertEquals(line.get("otherWorker"), doneBy.id.toString());
    }

    @Test
    public void membersOfAGangThatEndTogetherAreNotLogged() {
        OwnerHarness harness = new OwnerHarness().workers(3).takeOver();
        harness.gangsSynchronized = true;
        harness.submit("job", 1, OwnerHarness.gang(3, 8, 3000)).run(6000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertTrue(harness.lines.of("duplicate-run").isEmpty());
    }

    @Test
    public void rerunAfterARestartIsNotLogged() {
        OwnerHarness harness =
                new OwnerHarness().workers(1).takeOver().submit("job", 1, OwnerHarness.tasks(2, 4, 3000));
        harness.run(1500);
        harness.workers.values().iterator().next().restart();
        harness.run(6000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertTrue(harness.lines.of("duplicate-run").isEmpty());
        assertEquals(duplicates(harness), 0);
    }
}
