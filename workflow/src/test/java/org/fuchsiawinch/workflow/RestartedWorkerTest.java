package org.fuchsiawinch.workflow;

import java.util.List;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against work on a worker by the kind, the capacity or the state of another process of it: one that starts again
 * may be of another kind, and its answers and its entry arrive in any order.
 */
public class RestartedWorkerTest {

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
}
