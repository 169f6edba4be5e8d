package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against work on a worker by the kind, the capacity or the state of another process of it: one that starts again
 * may be of another kind, and its answers and its entry arrive in any order.
 */
public class RestartedWorkerTest {

    private static final Resources SMALL = new Resources(16_000, 32_000, 4, 0, 0);

    private OwnerHarness harness;
    private FakeWorker worker;

    @BeforeMethod
    public void createWorkerOfKindA() {
        harness = new OwnerHarness().workers(1).takeOver();
        worker = harness.workers.values().iterator().next();
        register("a", worker.capacity, false);
        harness.run(3500);
    }

    private void register(String kind, Resources capacity, boolean leaving) {
        harness.input(new OwnerInput.WorkerListed(new WorkerRegistration(
                worker.id, worker.incarnation, "desk", worker.rack, List.of(kind, worker.rack), capacity, leaving)));
    }

    private static StepSpec tasksOfKindA(int count) {
        return new StepSpec(
                count,
                new Resources(1000, 1000, 1, 0, 0),
                30_000,
                List.of(),
                false,
                false,
                false,
                0,
                Optional.of("a"),
                Optional.empty());
    }

    @Test
    public void startsNothingBeforeTheNewProcessHasRegistered() {
        harness.submit("job", 1, tasksOfKindA(8)).run(500);
        assertEquals(harness.startCount(), 8);
        worker.restart();
        harness.run(3000);
        assertEquals(harness.startCount(), 8, "starts by the entry of the earlier process");
        register("b", SMALL, false);
        harness.run(3000);
        assertEquals(harness.startCount(), 8, "starts on another kind");
        harness.submit("any", 1, OwnerHarness.tasks(8, 1, 30_000)).run(1000);
        assertEquals(harness.startCount(), 8 + 4, "starts on the capacity of the new process");
    }

    @Test
    public void startsNothingBeforeTheRegisteredProcessHasAnswered() {
        worker.silent = true;
        worker.restart();
        register("b", SMALL, false);
        harness.submit("any", 1, OwnerHarness.tasks(8, 1, 30_000)).run(500);
        worker.silent = false;
        harness.run(4000);
        assertEquals(harness.startCount(), 4);
    }

    @Test
    public void startsNothingThatWasAssignedToAnEarlierProcess() {
        harness.storeAnswerMs = 300;
        harness.submit("job", 1, tasksOfKindA(8)).run(50);
        worker.restart();
        register("b", SMALL, false);
        harness.run(5000);
        assertEquals(harness.startCount(), 0);
    }

    @Test
    public void startsNothingThatWasAssignedBeforeTheWorkerDrained() {
        harness.storeAnswerMs = 300;
        harness.submit("job", 1, tasksOfKindA(8)).run(50);
        register("a", worker.capacity, true);
        harness.run(5000);
        assertEquals(harness.startCount(), 0);
    }

    @Test
    public void repeatsNoOrderToANewProcess() {
        worker.ignoresStarts = true;
        harness.submit("job", 1, tasksOfKindA(1)).run(100);
        worker.restart();
        worker.ignoresStarts = false;
        register("b", SMALL, false);
        TaskRun run = new TaskRun(new TaskRef("job", 0, 0), 1);
        harness.input(new OwnerInput.StartAnswered(worker.id, run, StartOutcome.UNANSWERED));
        harness.run(5000);
        assertEquals(harness.startCount(), 0);
    }

    // Guards against a new process that gets neither work nor stops until a call to the earlier one has timed out.
    @Test
    public void asksANewProcessAsSoonAsItHasRegistered() {
        worker.silent = true;
        harness.run(100);
        worker.restart();
        worker.silent = false;
        register("a", worker.capacity, false);
        harness.run(50);
        assertEquals(harness.counts.get("workers.restarted"), Integer.valueOf(1));
    }

    // Guards against a worker that stays without work as it registers again before its answer shows the restart.
    @Test
    public void usesANewProcessOnceItHasRegisteredAndAnswered() {
        worker.restart();
        register("a", worker.capacity, false);
        harness.submit("job", 1, tasksOfKindA(8)).run(3500);
        assertEquals(harness.startCount(), 8);
    }
}
