package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against starts in a data centre that the operators drain; eight workers in two data centres. */
public class DrainedDataCentreTest {

    private static final long RUN_MS = 3000;
    private static final int WORKER_ACCELERATORS = 8;
    private static final int FLEET_ACCELERATORS = 8 * WORKER_ACCELERATORS;

    private OwnerHarness harness;

    @BeforeMethod
    public void createWorkersInTwoDataCentres() {
        harness = new OwnerHarness().workers(8);
        harness.headroomShare = 0;
    }

    private void takeOver(String... drained) {
        harness.takeOver();
        drain(drained);
        harness.workers.values().forEach(worker -> register(worker, dataCentre(worker)));
    }

    private static String dataCentre(FakeWorker worker) {
        return worker.rack.equals("r0") ? "east" : "west";
    }

    private void register(FakeWorker worker, String dataCentre) {
        harness.input(new OwnerInput.WorkerListed(new WorkerRegistration(
                worker.id,
                0,
                dataCentre,
                "desk",
                worker.rack,
                List.of("a", worker.rack),
                OwnerHarness.WORKER_CAPACITY,
                false,
                OptionalLong.empty())));
    }

    private void drain(String... dataCentres) {
        harness.input(new OwnerInput.DrainsRead(Set.of(dataCentres), harness.nowMs));
    }

    private long starts(String dataCentre) {
        return harness.workers.values().stream()
                .filter(worker -> dataCentre(worker).equals(dataCentre))
                .mapToLong(worker -> worker.startedRuns.size())
                .sum();
    }

    @Test
    public void startsOnlyElsewhereUntilTheDrainIsWithdrawn() {
        takeOver("east");
        harness.submit("job", 1, OwnerHarness.tasks(FLEET_ACCELERATORS, 1, 60_000))
                .run(2000);
        assertEquals(starts("east"), 0);
        assertEquals(starts("west"), FLEET_ACCELERATORS / 2);
        drain();
        harness.run(2000);
        assertEquals(starts("east"), FLEET_ACCELERATORS / 2);
    }

    @Test
    public void letsRunsEndThatHaveStarted() {
        takeOver();
        harness.submit("job", 1, OwnerHarness.tasks(FLEET_ACCELERATORS, 1, RUN_MS))
                .run(1000);
        drain("east");
        harness.run(2 * RUN_MS);
        assertEquals(harness.phase("job").orElseThrow(), JobPhase.COMPLETED);
        assertEquals(harness.startCount(), FLEET_ACCELERATORS, "runs that were stopped and started again");
    }

    // The drain is read between the storing of an assignment and its answer.
    @Test
    public void withdrawsAssignmentsThatAreBeingStored() {
        takeOver();
        harness.run(1500);
        harness.storeAnswerMs = 300;
        harness.submit("job", 1, OwnerHarness.tasks(FLEET_ACCELERATORS, 1, 60_000))
                .run(50);
        drain("east");
        harness.run(3000);
        assertEquals(starts("east"), 0);
        assertEquals(starts("west"), FLEET_ACCELERATORS / 2);
    }

    @Test
    public void startsAGangWholeElsewhereIfItsDataCentreDrainsMeanwhile() {
        harness.gangsSynchronized = true;
        takeOver("west");
        harness.run(1500);
        harness.storeAnswerMs = 300;
        harness.submit("job", 1, OwnerHarness.gang(4, WORKER_ACCELERATORS, RUN_MS))
                .run(50);
        drain("east");
        harness.run(3000 + 2 * RUN_MS);
        assertEquals(starts("east"), 0);
        assertEquals(harness.phase("job").orElseThrow(), JobPhase.COMPLETED);
    }

    @Test
    public void appliesToWorkersThatRegisterLater() {
        takeOver("east");
        FakeWorker added = harness.worker("w9", "r0");
        register(added, "east");
        harness.submit("job", 1, OwnerHarness.tasks(2 * FLEET_ACCELERATORS, 1, 60_000))
                .run(3000);
        assertEquals(added.startedRuns.size(), 0);
    }

    // A successor finds assignments of its predecessor that no worker has been told of.
    @Test
    public void successorOrdersNoInheritedAssignmentInADrainedDataCentre() {
        takeOver();
        harness.run(1500);
        harness.workers.values().forEach(worker -> worker.ignoresStarts = true);
        harness.submit("job", 1, OwnerHarness.tasks(FLEET_ACCELERATORS, 1, 60_000))
                .run(200);
        harness.workers.values().forEach(worker -> worker.ignoresStarts = false);
        takeOver("east");
        harness.run(4000);
        assertEquals(starts("east"), 0);
        assertEquals(starts("west"), FLEET_ACCELERATORS / 2);
    }

    // The owner's appends are stored while its reads of the operators' stream are not answered.
    @Test
    public void startsNothingWhileTheRequestsAreNotKnownInTime() {
        harness.drainBoundMs = OptionalLong.of(5000);
        takeOver();
        harness.run(3000).submit("job", 1, OwnerHarness.tasks(4, 1, 60_000)).run(2000);
        assertEquals(harness.startCount(), 0);
        drain();
        harness.run(500);
        assertEquals(harness.startCount(), 4);
    }

    @Test
    public void doesNotAskForMoreAppendsWhileItWaitsForTheRequests() {
        harness.drainBoundMs = OptionalLong.of(5000);
        takeOver();
        harness.run(3000).submit("job", 1, OwnerHarness.tasks(4, 1, 60_000)).run(100);
        int before = harness.appends;
        harness.run(2000);
        assertTrue(harness.appends - before <= 6, "appends: " + (harness.appends - before));
    }

    @Test
    public void startsWithoutReadsWhereDrainsHaveNoBound() {
        takeOver();
        harness.run(10_000).submit("job", 1, OwnerHarness.tasks(4, 1, 60_000)).run(1000);
        assertEquals(harness.startCount(), 4);
    }
}
