package org.fuchsiawinch.explore;

import java.util.List;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a node that, while the log is unavailable, accepts, starts or reports work that the log does not hold,
 * or abandons running work. Follows the rows of docs/design/outages.md.
 */
public class LogOutageTest {

    private static final long HOUR_MS = 3_600_000;
    private static final NodeSettings SETTINGS = NodeSettings.defaults(new NodeId("n0"), 0);

    private NodeHarness harness;

    @BeforeMethod
    public void startWithOneRunningGang() {
        harness = NodeHarness.owningCell(2);
        submit("running", 3, 2 * HOUR_MS);
        harness.run(2000);
        assertEquals(status("running"), JobStatus.RELEASED);
    }

    @Test
    public void newJobIsRefusedWithRetryTime() {
        startOutage();
        NodeReply.Refused refused = refusal(submit("late", 1, 10));
        assertEquals(refused.code(), NodeReply.RefusalCode.LOG_UNAVAILABLE);
        assertTrue(refused.retryAfterMs().isPresent());
    }

    @Test
    public void cancelIsRefusedWithRetryTime() {
        startOutage();
        long request = harness.request(id -> new NodeInput.JobCancel(id, new JobId("running")));
        assertEquals(refusal(request).code(), NodeReply.RefusalCode.LOG_UNAVAILABLE);
        assertTrue(refusal(request).retryAfterMs().isPresent());
    }

    @Test
    public void documentChangeIsRefusedWithRetryTime() {
        startOutage();
        LogRecord change = new LogRecord.DocumentProposed("team", "capacity", 1, "v2", "");
        long request = harness.request(id -> new NodeInput.DocumentChange(id, change));
        assertEquals(refusal(request).code(), NodeReply.RefusalCode.LOG_UNAVAILABLE);
        assertTrue(refusal(request).retryAfterMs().isPresent());
    }

    @Test
    public void knownJobIsStillReported() {
        startOutage();
        assertEquals(status("running"), JobStatus.RELEASED);
    }

    @Test
    public void unreadJobIsReportedPending() {
        startOutage();
        long request = harness.request(id -> new NodeInput.JobLookup(id, new JobId("other"), 0));
        assertTrue(harness.reply(request).orElseThrow() instanceof NodeReply.Pending);
    }

    @Test
    public void requestWithUnacknowledgedAppendStaysPending() {
        harness.logUp(false);
        submit("caught", 1, 10);
        harness.run(3000);
        long again = submit("caught", 1, 10);
        assertTrue(harness.reply(again).orElseThrow() instanceof NodeReply.Pending);
    }

    @Test
    public void leasesAreRenewedForAnHour() {
        startOutage();
        harness.run(HOUR_MS);
        harness.effects();
        harness.run(2000);
        List<WorkerCommand.Renew> renewals = harness.commands(WorkerCommand.Renew.class);
        assertFalse(renewals.isEmpty());
        assertTrue(renewals.stream().allMatch(renewal -> renewal.leaseUntilMs() > harness.nowMs()));
    }

    @Test
    public void leasesAreNotRenewedBeyondTheHorizon() {
        startOutage();
        harness.run(SETTINGS.renewHorizonMs());
        harness.effects();
        harness.run(2000);
        List<WorkerCommand.Renew> renewals = harness.commands(WorkerCommand.Renew.class);
        assertTrue(renewals.stream().allMatch(renewal -> renewal.leaseUntilMs() == 0));
    }

    @Test
    public void noPartIsPrepared() {
        submit("short", 2, 100_000);
        harness.run(1000);
        startOutage();
        harness.effects();
        harness.run(60_000);
        assertTrue(harness.commands(WorkerCommand.Prepare.class).isEmpty());
    }

    @Test
    public void remainingGangPartsAreStopped() {
        startOutage();
        harness.loseWorker(1);
        harness.effects();
        harness.run(2 * SETTINGS.leaseMs());
        assertFalse(harness.commands(WorkerCommand.Stop.class).isEmpty());
    }

    @Test
    public void completionIsReportedOnceLogIsBack() {
        harness = NodeHarness.owningCell(2);
        long request = submit("done", 1, 5000);
        harness.run(1000);
        startOutage();
        harness.run(20_000);
        assertEquals(status("done"), JobStatus.RELEASED, "completion reported before it is in the log");
        harness.logUp(true);
        harness.run(10_000);
        assertEquals(status("done"), JobStatus.FINISHED);
        assertTrue(harness.reply(request).isPresent());
    }

    @Test
    public void drainWaitsForTheLog() {
        startOutage();
        harness.send(new NodeInput.Drain());
        harness.run(60_000);
        assertTrue(harness.effects().stream().noneMatch(NodeEffect.Drained.class::isInstance));
        harness.logUp(true);
        harness.run(15_000);
        assertTrue(harness.effects().stream().anyMatch(NodeEffect.Drained.class::isInstance));
    }

    @Test
    public void backlogIsAppendedInBoundedBatches() {
        harness.logUp(false);
        for (int job = 0; job < 300; job++) {
            submit("burst" + job, 1, 10);
        }
        harness.run(60_000);
        harness.effects();
        harness.logUp(true);
        harness.run(10_000);
        List<Integer> sizes = harness.effects().stream()
                .filter(NodeEffect.Append.class::isInstance)
                .map(effect -> ((NodeEffect.Append) effect).batch().size())
                .toList();
        assertTrue(sizes.stream().allMatch(size -> size <= SETTINGS.maxBatchRecords()), sizes.toString());
        assertTrue(sizes.stream().mapToInt(Integer::intValue).sum() >= 300);
    }

    private void startOutage() {
        harness.logUp(false);
        harness.run(6000);
    }

    private long submit(String job, int parts, long runMs) {
        return harness.request(
                id -> new NodeInput.JobSubmit(id, NodeHarness.job(job, parts), NodeHarness.payload(runMs), 0));
    }

    private NodeReply.Refused refusal(long request) {
        return (NodeReply.Refused) harness.reply(request).orElseThrow();
    }

    private JobStatus status(String job) {
        long request = harness.request(id -> new NodeInput.JobLookup(id, new JobId(job), 0));
        return ((NodeReply.Job) harness.reply(request).orElseThrow()).job().status();
    }
}
