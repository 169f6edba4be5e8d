package org.fuchsiawinch.workflow;

import java.util.Map;

import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that the lines of given-up and ended runs say why the owner takes them for certainly not running. */
public class ReleaseReasonTest {

    private static OwnerHarness harnessWithOneRun() {
        OwnerHarness harness =
                new OwnerHarness().workers(2).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 20_000));
        return harness.run(1500);
    }

    private static FakeWorker holder(OwnerHarness harness) {
        return harness.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static long number(Map<String, String> line, String key) {
        return Long.parseLong(line.get(key));
    }

    @Test
    public void expiredLeaseIsNegative() {
        OwnerHarness harness = harnessWithOneRun();
        holder(harness).silent = true;
        harness.run(9000);
        Map<String, String> released = harness.lines.only("run-released");
        assertEquals(released.get("cause"), "lease-expired");
        assertEquals(released.get("stage"), "RUNNING");
        assertEquals(released.get("incarnation"), "1");
        assertTrue(number(released, "leaseLeftMs") < 0, released.toString());
        assertTrue(number(released, "silentMs") > 4000, released.toString());
    }

    @Test
    public void leaseOfAnUnlistedWorkerIsNotOver() {
        OwnerHarness harness = harnessWithOneRun();
        FakeWorker holder = holder(harness);
        harness.list(holder, true);
        harness.input(new OwnerInput.WorkerUnlisted(holder.id));
        Map<String, String> line = harness.lines.only("worker-unlisted");
        assertTrue(number(line, "leaseLeftMs") > 3000, line.toString());
        assertTrue(number(line, "silentMs") < 1500, line.toString());
        assertEquals(line.get("leaving"), "true");
        assertTrue(harness.lines.of("run-released").isEmpty());
    }

    @Test
    public void unlistedWorkerThatIsNotLeavingKeepsItsRuns() {
        OwnerHarness harness = harnessWithOneRun();
        harness.input(new OwnerInput.WorkerUnlisted(holder(harness).id));
        assertEquals(harness.lines.only("worker-unlisted").get("leaving"), "false");
        assertTrue(harness.lines.of("run-released").isEmpty());
    }

    @Test
    public void restartNamesBothIncarnationsAndCountsRuns() {
        OwnerHarness harness = harnessWithOneRun();
        // The renewal under way at the restart has to be sent after the run was confirmed.
        harness.run(1000);
        holder(harness).restart();
        harness.run(1500);
        Map<String, String> restarted = harness.lines.only("worker-restarted");
        assertEquals(restarted.get("before"), "1");
        assertEquals(restarted.get("incarnation"), "2");
        assertEquals(restarted.get("confirmed"), "1");
        assertEquals(restarted.get("unconfirmed"), "0");
        Map<String, String> released = harness.lines.only("run-released");
        assertEquals(released.get("cause"), "worker-restarted");
        assertTrue(number(released, "leaseLeftMs") > 0, released.toString());
    }

    @Test
    public void endNamesTheIncarnation() {
        OwnerHarness harness =
                new OwnerHarness().workers(1).takeOver().submit("job", 1, OwnerHarness.tasks(1, 8, 1000));
        harness.run(3000);
        assertEquals(harness.lines.only("run-ended").get("incarnation"), "1");
    }
}
