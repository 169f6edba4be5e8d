package org.fuchsiawinch.workflow;

import java.util.Optional;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.testng.annotations.DataProvider;
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

    /** Time in ms of a suspension that is not noticed. */
    private static final long TERM_MARGIN_MS = 500;

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

    /** Guards against leases beyond the bound of a successor because an answer of the store was handled late. */
    @Test
    public void ownerCountsTheSilenceOfTheStoreFromTheSendingOfAnAppend() {
        OwnerHarness harness = harnessWithOneRun();
        FakeWorker holder = holder(harness);
        long sentMs = harness.nowMs + OwnerSettings.of("n", 10_000, 3, 0).heartbeatMs();
        harness.storeAnswerMs = 3900;
        harness.run(4500);
        harness.storeDown = true;
        harness.run(8000);
        long leaseEndMs = holder.startedMs + holder.leaseEndMs;
        assertTrue(
                leaseEndMs <= sentMs + LAST_LEASE_MS,
                "lease until " + (leaseEndMs - sentMs) + " ms after the last confirmed append was sent");
    }

    /** Guards against start orders, which grant a lease, on the late answer to an append. */
    @Test
    public void startsWaitForAPromptAnswerOfTheStore() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(3500);
        harness.storeAnswerMs = 4500;
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 30_000)).run(4600);
        assertEquals(harness.startCount(), 0, "starts on an answer after 4.5 s");
        harness.storeAnswerMs = OwnerHarness.STORE_LATENCY_MS;
        harness.run(5000);
        assertEquals(harness.startCount(), 1);
    }

    /** Times in ms of an answer of the store after which an owner can be certain that it still owns the cell. */
    @DataProvider
    public Object[][] storeAnswers() {
        return new Object[][] {{300L}, {700L}, {1500L}, {2500L}};
    }

    /** Guards against a cell that starts nothing as its store is always slow. */
    @Test(dataProvider = "storeAnswers")
    public void startsOnASlowStore(long answerMs) {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(3500);
        harness.storeAnswerMs = answerMs;
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 30_000)).run(3 * answerMs + 500);
        assertEquals(harness.startCount(), 1);
    }

    /** Guards against start orders at a time at which another node may have claimed the cell. */
    @Test(dataProvider = "storeAnswers")
    public void ordersNoStartAfterTheAnnouncedTerm(long answerMs) {
        OwnerHarness harness = new OwnerHarness().workers(8).takeOver().run(3500);
        for (int job = 0; job < 40; job++) {
            harness.storeAnswerMs = job % 5 == 0 ? answerMs : OwnerHarness.STORE_LATENCY_MS;
            harness.submit("job" + job, 1, OwnerHarness.tasks(1, 1, 30_000)).run(200);
        }
        harness.run(5000);
        assertEquals(harness.startCount(), 40);
        assertTrue(harness.minTermLeftMs >= TERM_MARGIN_MS, "ms left " + harness.minTermLeftMs);
    }

    /** Guards against starts by a longer term that another node which has read the next record no longer waits for. */
    @Test
    public void ordersNoStartByATermThatHasBeenShortened() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(3500);
        harness.storeAnswerMs = 700;
        harness.run(3000);
        assertEquals(harness.termMs(), 2400);
        FakeWorker worker = harness.workers.values().iterator().next();
        worker.ignoresStarts = true;
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 30_000));
        harness.runUntil(() -> harness.minTermLeftMs < Long.MAX_VALUE);
        harness.storeAnswerMs = OwnerHarness.STORE_LATENCY_MS;
        harness.run(500);
        harness.storeAnswerMs = 5000;
        harness.runUntil(() -> harness.termMs() == CellRecord.Owner.MIN_TERM_MS);
        harness.run(1000);
        harness.input(new OwnerInput.StartAnswered(
                worker.id, new TaskRun(new TaskRef("job", 0, 0), 1), StartOutcome.UNANSWERED));
        assertTrue(harness.minTermLeftMs >= TERM_MARGIN_MS, "ms left " + harness.minTermLeftMs);
    }

    /** Guards against leases on the permission of before a suspension in which the owner's clock stood still. */
    @Test
    public void suspendedOwnerGrantsNoLeaseBeforeTheStoreConfirmsAnotherAppend() {
        OwnerHarness harness = harnessWithOneRun();
        FakeWorker holder = holder(harness);
        harness.storeDown = true;
        harness.run(450);
        long leaseEndMs = holder.leaseEndMs;
        harness.input(new OwnerInput.Suspended());
        harness.run(3000);
        assertEquals(holder.leaseEndMs, leaseEndMs, "lease after the suspension");
        harness.storeDown = false;
        harness.run(2500);
        assertTrue(holder.leaseEndMs > leaseEndMs, "lease after another append");
    }
}
