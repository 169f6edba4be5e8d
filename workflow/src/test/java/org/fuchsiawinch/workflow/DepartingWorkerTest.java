package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against tasks that start again only when the lease of a worker that was taken away at short notice has
 * expired, four seconds after its exit. Load: a tenth of the workers leave at once, each with a few runs.
 */
public class DepartingWorkerTest {

    private static final long NOTICE_MS = 1900;

    private static OwnerHarness harness() {
        OwnerHarness harness = new OwnerHarness().workers(10).takeOver();
        harness.headroomShare = 0;
        harness.run(3500);
        return harness;
    }

    private static FakeWorker holder(OwnerHarness harness) {
        return harness.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static void leave(OwnerHarness harness, FakeWorker worker, OptionalLong leavesInMs) {
        harness.input(new OwnerInput.WorkerListed(new WorkerRegistration(
                worker.id,
                0,
                "east",
                "desk",
                worker.rack,
                List.of("a", worker.rack),
                worker.capacity,
                true,
                leavesInMs)));
    }

    @Test
    public void startsElsewhereAtOnceWhatCannotEndBeforeTheExit() {
        OwnerHarness harness = harness().submit("job", 1, OwnerHarness.tasks(4, 1, 6000));
        harness.run(1000);
        FakeWorker leaving = holder(harness);
        int lost = leaving.running.size();
        leave(harness, leaving, OptionalLong.of(NOTICE_MS));
        harness.run(1000);
        assertTrue(leaving.running.isEmpty(), "runs that cannot end");
        assertEquals(harness.startCount(), 4 + lost);
        assertEquals(harness.runningCount(), 4);
    }

    @Test
    public void letsRunsEndThatCanEndBeforeTheExit() {
        OwnerHarness harness = harness().submit("job", 1, OwnerHarness.tasks(4, 1, 2000));
        harness.run(1000);
        leave(harness, holder(harness), OptionalLong.of(NOTICE_MS));
        harness.run(2500);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.startCount(), 4);
    }

    // The time until the exit is worked on and saved.
    @Test
    public void letsRunsWithCheckpointsGoOnUntilShortlyBeforeTheExit() {
        OwnerHarness harness = harness().submit("job", 1, OwnerHarness.step(1, 1, 8000, false, true));
        harness.run(1000);
        FakeWorker leaving = holder(harness);
        leave(harness, leaving, OptionalLong.of(5000));
        harness.run(3000);
        assertEquals(leaving.running.size(), 1);
        harness.run(1500);
        assertTrue(leaving.running.isEmpty(), "the progress is lost with the worker");
        harness.run(5500);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    @Test
    public void startsAGangWholeElsewhere() {
        OwnerHarness harness = harness();
        harness.gangsSynchronized = true;
        harness.submit("job", 1, OwnerHarness.gang(3, 8, 6000)).run(1000);
        FakeWorker leaving = holder(harness);
        leave(harness, leaving, OptionalLong.of(NOTICE_MS));
        harness.run(1500);
        assertTrue(leaving.running.isEmpty(), "a member cannot end");
        assertEquals(harness.runningCount(), 3);
        harness.run(7000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    @Test
    public void stopsNothingOnAWorkerThatDoesNotStateItsExit() {
        OwnerHarness harness = harness().submit("job", 1, OwnerHarness.tasks(4, 1, 6000));
        harness.run(1000);
        leave(harness, holder(harness), OptionalLong.empty());
        harness.run(6000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(harness.startCount(), 4);
    }
}
