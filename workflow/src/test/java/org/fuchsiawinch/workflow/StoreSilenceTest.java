package org.fuchsiawinch.workflow;

import java.util.Optional;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a second run of a task on a worker that an owner without the store still reaches, but its successor
 * does not.
 */
public class StoreSilenceTest {

    /** Time in ms after an owner's last answer from the store at which the last lease that it granted is over. */
    private static final long LAST_LEASE_MS = 4000 + 6200;

    /** Time in ms that an answer of the store may take. */
    private static final long STORE_ANSWER_MS = 1200;

    private static FakeWorker holder(OwnerHarness harness) {
        return harness.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static OwnerHarness harnessWithOneRun() {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 30_000));
        harness.run(3500);
        return harness;
    }

    /** Guards against an owner that extends leases for ever although another may have taken over. */
    @Test
    public void ownerWithoutTheStoreLetsLeasesExpire() {
        OwnerHarness harness = harnessWithOneRun();
        FakeWorker holder = holder(harness);
        harness.storeDown = true;
        harness.run(LAST_LEASE_MS);
        holder.expire();
        assertTrue(holder.running.isEmpty(), "the run still holds a lease");
    }

    /** Guards against runs that are lost in an outage of the store of a few seconds. */
    @Test
    public void runsSurviveAnOutageOfTheStore() {
        OwnerHarness harness = harnessWithOneRun();
        FakeWorker holder = holder(harness);
        harness.storeDown = true;
        for (int seconds = 0; seconds < 9; seconds++) {
            harness.run(1000);
            holder.expire();
        }
        harness.storeDown = false;
        harness.run(30_000);
        assertEquals(harness.startCount(), 1);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    /** Guards against a successor that releases runs while its predecessor's leases may still be in force. */
    @Test
    public void successorWaitsForTheLastLeaseOfAWorkerThatItDoesNotReach() {
        OwnerHarness harness = harnessWithOneRun();
        FakeWorker holder = holder(harness);
        holder.silent = true;
        harness.takeOver();
        harness.run(STORE_ANSWER_MS + LAST_LEASE_MS);
        assertEquals(harness.startCount(), 1);
        harness.run(3000);
        assertEquals(harness.startCount(), 2);
    }
}
