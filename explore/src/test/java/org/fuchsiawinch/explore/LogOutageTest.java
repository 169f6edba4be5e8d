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

/** The rows of docs/design/outages.md: what goes on and what is refused while the log is down. */
public class LogOutageTest {

    private static final long HOUR_MS = 3_600_000;
    private static final NodeSettings SETTINGS = NodeSettings.defaults(new NodeId("n0"), 0);

    private NodeRig rig;

    @BeforeMethod
    public void ownCellAndRunOneGang() {
        rig = NodeRig.owning(2);
        submit("running", 3, 2 * HOUR_MS);
        rig.run(2000);
        assertEquals(status("running"), JobStatus.RELEASED);
    }

    @Test
    public void newJobIsRefusedWithARetryTime() {
        goDown();
        NodeReply.Refused refused = refusal(submit("late", 1, 10));
        assertEquals(refused.code(), NodeReply.RefusalCode.LOG_UNAVAILABLE);
        assertTrue(refused.retryAfterMs().isPresent());
    }

    @Test
    public void cancelIsRefusedWithARetryTime() {
        goDown();
        long request = rig.ask(id -> new NodeInput.JobCancel(id, new JobId("running")));
        assertEquals(refusal(request).code(), NodeReply.RefusalCode.LOG_UNAVAILABLE);
    }

    @Test
    public void documentChangeIsRefusedWithARetryTime() {
        goDown();
        LogRecord change = new LogRecord.DocumentProposed("team", "capacity", 1, "v2", "");
        long request = rig.ask(id -> new NodeInput.DocumentChange(id, change));
        assertEquals(refusal(request).code(), NodeReply.RefusalCode.LOG_UNAVAILABLE);
    }

    @Test
    public void knownJobIsStillShown() {
        goDown();
        assertEquals(status("running"), JobStatus.RELEASED);
    }

    @Test
    public void jobThatWasNotReadIsNotCalledUnknown() {
        goDown();
        long request = rig.ask(id -> new NodeInput.JobLookup(id, new JobId("other"), 0));
        assertTrue(rig.reply(request).orElseThrow() instanceof NodeReply.Pending);
    }

    @Test
    public void requestOnItsWayToTheLogStaysPending() {
        rig.logUp(false);
        submit("caught", 1, 10);
        rig.run(3000);
        long again = submit("caught", 1, 10);
        assertTrue(rig.reply(again).orElseThrow() instanceof NodeReply.Pending);
    }

    @Test
    public void leasesAreRenewedForAnHour() {
        goDown();
        rig.run(HOUR_MS);
        rig.effects();
        rig.run(2000);
        List<WorkerCommand.Renew> renewals = rig.commands(WorkerCommand.Renew.class);
        assertFalse(renewals.isEmpty());
        assertTrue(renewals.stream().allMatch(renewal -> renewal.leaseUntilMs() > rig.nowMs()));
    }

    @Test
    public void leasesAreNotRenewedBeyondTheHorizon() {
        goDown();
        rig.run(SETTINGS.renewHorizonMs());
        rig.effects();
        rig.run(2000);
        List<WorkerCommand.Renew> renewals = rig.commands(WorkerCommand.Renew.class);
        assertTrue(renewals.stream().allMatch(renewal -> renewal.leaseUntilMs() == 0));
    }

    @Test
    public void nothingNewIsPrepared() {
        submit("short", 2, 100_000);
        rig.run(1000);
        goDown();
        rig.effects();
        rig.run(60_000);
        assertTrue(rig.commands(WorkerCommand.Prepare.class).isEmpty());
    }

    @Test
    public void restOfABrokenGangIsStopped() {
        goDown();
        rig.loseWorker(1);
        rig.effects();
        rig.run(2 * SETTINGS.leaseMs());
        assertFalse(rig.commands(WorkerCommand.Stop.class).isEmpty());
    }

    @Test
    public void completedWorkIsToldOnceTheLogIsBack() {
        rig = NodeRig.owning(2);
        long request = submit("done", 1, 5000);
        rig.run(1000);
        goDown();
        rig.run(20_000);
        assertEquals(status("done"), JobStatus.RELEASED, "not told before it is in the log");
        rig.logUp(true);
        rig.run(10_000);
        assertEquals(status("done"), JobStatus.FINISHED);
        assertTrue(rig.reply(request).isPresent());
    }

    @Test
    public void plannedStopWaitsForTheLog() {
        goDown();
        rig.send(new NodeInput.Drain());
        rig.run(60_000);
        assertTrue(rig.effects().stream().noneMatch(NodeEffect.Drained.class::isInstance));
        rig.logUp(true);
        rig.run(15_000);
        assertTrue(rig.effects().stream().anyMatch(NodeEffect.Drained.class::isInstance));
    }

    @Test
    public void returnOfTheLogBringsBoundedBatches() {
        rig.logUp(false);
        for (int job = 0; job < 300; job++) {
            submit("burst" + job, 1, 10);
        }
        rig.run(60_000);
        rig.effects();
        rig.logUp(true);
        rig.run(10_000);
        List<Integer> sizes = rig.effects().stream()
                .filter(NodeEffect.Append.class::isInstance)
                .map(effect -> ((NodeEffect.Append) effect).batch().size())
                .toList();
        assertTrue(sizes.stream().allMatch(size -> size <= SETTINGS.maxBatchRecords()), sizes.toString());
        assertTrue(sizes.stream().mapToInt(Integer::intValue).sum() >= 300);
    }

    private void goDown() {
        rig.logUp(false);
        rig.run(6000);
    }

    private long submit(String job, int parts, long runMs) {
        return rig.ask(id -> new NodeInput.JobSubmit(id, NodeRig.job(job, parts), NodeRig.payload(runMs), 0));
    }

    private NodeReply.Refused refusal(long request) {
        return (NodeReply.Refused) rig.reply(request).orElseThrow();
    }

    private JobStatus status(String job) {
        long request = rig.ask(id -> new NodeInput.JobLookup(id, new JobId(job), 0));
        return ((NodeReply.Job) rig.reply(request).orElseThrow()).job().status();
    }
}
