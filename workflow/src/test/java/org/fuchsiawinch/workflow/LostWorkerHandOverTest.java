package org.fuchsiawinch.workflow;

import java.util.Optional;
import java.util.function.Function;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.owner.Predecessor;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a job that stands still for as long as owners change: its worker is lost for good, and each new owner
 * waits anew for leases that only owners before the first change can have granted.
 */
public class LostWorkerHandOverTest {

    /** Time in ms after the first change of owner at which the last lease that an earlier owner granted is over. */
    private static final long LAST_LEASE_MS = 12_300;

    /** Time in ms after the last record of a certain predecessor at which the last lease that it granted is over. */
    private static final long LAST_LEASE_OF_KILLED_OWNER_MS = 4000 + 6240 + 1400;

    /** Time in ms between two changes of owner, as when nodes are stopped and started in turn. */
    private static final long CHANGE_INTERVAL_MS = 3000;

    @Test
    public void startsARunOfALostWorkerAgainThoughOwnersChange() {
        OwnerHarness harness = withLostWorker(2000, 1500);
        long changedMs = harness.nowMs;
        for (int change = 0; change < 4; change++) {
            harness.takeOver().run(CHANGE_INTERVAL_MS);
        }
        harness.run(changedMs + LAST_LEASE_MS + 1000 - harness.nowMs);
        assertEquals(harness.startCount(), 2, "the run of the lost worker is still held");
        harness.run(4000);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    /** As above, with owners that release the cell before their successors know which workers do not answer. */
    @Test
    public void startsARunOfALostWorkerAgainThoughOwnersReleaseTheCellSoon() {
        OwnerHarness harness = withLostWorker(2000, 1500);
        long changedMs = harness.nowMs;
        harness.takeOver();
        for (int change = 0; change < 12; change++) {
            harness.run(700).release().takeOver();
        }
        harness.run(changedMs + LAST_LEASE_MS + 1000 - harness.nowMs);
        assertEquals(harness.startCount(), 2, "the run of the lost worker is still held");
    }

    /** Guards against a successor that waits anew although the lease was about to expire at the release. */
    @Test
    public void startsARunOfALostWorkerAgainSoonAfterARelease() {
        OwnerHarness harness = withLostWorker(9000, 4000);
        FakeWorker holder = busyWorker(harness);
        harness.run(4000).release().takeOver();
        assertTrue(listsUnreachedWorkers(harness));
        harness.run(2500);
        assertEquals(harness.startCount(), 2, "the run of the lost worker is still held");
        assertTrue(holder.leaseEndMs < harness.nowMs, "the lease is over");
    }

    /** Guards against a bound that counts from the start of an ownership, long after the last record of its owner. */
    @Test
    public void startsARunOfALostWorkerAgainOnceTheLeasesOfAKilledOwnerAreOver() {
        OwnerHarness harness = withLostWorker(20_000, 1500);
        long killedMs = harness.nowMs;
        harness.owner = null;
        harness.run(4000).takeOver();
        harness.run(killedMs + LAST_LEASE_OF_KILLED_OWNER_MS + 1000 - harness.nowMs);
        assertEquals(harness.startCount(), 2, "the run of the lost worker is still held");
    }

    /** Guards against a successor that waits for the longest lease although the killed owner had missed the worker. */
    @Test
    public void startsARunAgainSoonIfTheKilledOwnerHadMissedItsWorker() {
        OwnerHarness harness = withLostWorker(20_000, 8000);
        FakeWorker holder = busyWorker(harness);
        harness.run(4500);
        assertTrue(listsUnreachedWorkers(harness));
        harness.owner = null;
        harness.run(1500).takeOver();
        harness.run(2500);
        assertEquals(harness.startCount(), 2, "the run of the lost worker is still held");
        assertTrue(holder.leaseEndMs < holder.clockMs(), "the lease is over");
    }

    /** Guards against a successor that trusts an owner of an earlier version to count from the sending of its appends. */
    @Test
    public void waitsForTheLongestLeaseOfAnOwnerOfAnEarlierVersion() {
        OwnerHarness harness = withLostWorker(20_000, 8000);
        long lostMs = harness.nowMs;
        harness.takeOver(Optional.of(new Predecessor(1000, lostMs, false)));
        harness.run(12_000);
        assertEquals(harness.startCount(), 1, "starts while a lease may be in force");
        harness.run(LAST_LEASE_MS + 1000 - 12_000);
        assertEquals(harness.startCount(), 2);
    }

    @DataProvider
    public Object[][] laterPredecessors() {
        return new Object[][] {
            {(Function<OwnerHarness, Optional<Predecessor>>) harness -> Optional.empty(), 12_000, LAST_LEASE_MS},
            {
                (Function<OwnerHarness, Optional<Predecessor>>)
                        harness -> Optional.of(new Predecessor(1000, harness.nowMs, true)),
                LAST_LEASE_OF_KILLED_OWNER_MS - 100,
                LAST_LEASE_OF_KILLED_OWNER_MS
            }
        };
    }

    /** Guards against a bound that an owner in between, which does not know this record, has made outdated. */
    @Test(dataProvider = "laterPredecessors")
    public void waitsForTheLongestLeaseIfTheRecordIsNotOfTheCertainPredecessor(
            Function<OwnerHarness, Optional<Predecessor>> predecessor, long minWaitMs, long lastLeaseMs) {
        OwnerHarness harness = withLostWorker(9000, 4000);
        harness.run(4000).release().takeOver(predecessor.apply(harness));
        long takenOverMs = harness.nowMs;
        harness.run(minWaitMs);
        assertEquals(harness.startCount(), 1, "starts while a lease may be in force");
        harness.run(takenOverMs + lastLeaseMs + 1000 - harness.nowMs);
        assertEquals(harness.startCount(), 2);
    }

    /** Guards against a successor that gives up a run whose start order may still be carried out. */
    @Test
    public void waitsForTheLongestLeaseOfAStartInDoubtAfterARelease() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver().run(500);
        harness.workers.values().forEach(worker -> worker.silent = true);
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 9000)).run(1500);
        harness.release();
        assertFalse(listsUnreachedWorkers(harness));
    }

    /** Guards against a successor that gives up a run although the owner has extended its lease in the meantime. */
    @Test
    public void grantsNoLeaseWhileTheStoreListsTheWorkerAsUnreached() {
        OwnerHarness harness = withLostWorker(9000, 1500);
        FakeWorker holder = busyWorker(harness);
        harness.takeOver().run(3000);
        assertTrue(listsUnreachedWorkers(harness));
        long leaseEndMs = holder.leaseEndMs;
        harness.storeDown = true;
        holder.silent = false;
        harness.run(1000);
        assertEquals(holder.leaseEndMs, leaseEndMs, "lease while the record is stored");
        harness.storeDown = false;
        harness.run(1000);
        assertFalse(listsUnreachedWorkers(harness));
        assertTrue(holder.leaseEndMs > leaseEndMs, "lease once the record is removed");
        harness.run(9000);
        assertEquals(harness.startCount(), 1);
        assertEquals(harness.phase("job"), Optional.of(JobPhase.COMPLETED));
    }

    /** Returns an owner and two workers, of which the one that runs the job's only task stops answering after a time. */
    private static OwnerHarness withLostWorker(long runMs, long lostAfterMs) {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, runMs));
        harness.run(lostAfterMs);
        busyWorker(harness).silent = true;
        return harness;
    }

    private static FakeWorker busyWorker(OwnerHarness harness) {
        return harness.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static boolean listsUnreachedWorkers(OwnerHarness harness) {
        return harness.stored.get(CellRecord.UnreachedWorkers.KEY) instanceof CellRecord.UnreachedWorkers;
    }
}
