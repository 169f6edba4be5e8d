package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the line that an owner logs about its load, its counters, and the names of a job in the line of its end. */
public class OwnerLoadTest {

    private static Map<String, String> last(OwnerHarness harness) {
        List<Map<String, String>> lines = harness.lines.of("owner-load");
        return lines.get(lines.size() - 1);
    }

    @Test
    public void linesComeEveryTwoSeconds() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(10_050);
        assertEquals(harness.lines.of("owner-load").size(), 5);
    }

    @Test
    public void countsJobsTasksWorkersAndAccelerators() {
        OwnerHarness harness = new OwnerHarness().workers(3).takeOver().run(500);
        harness.workers.values().iterator().next().silent = true;
        harness.submit("job", 0, OwnerHarness.tasks(5, 8, 60_000)).run(5700);
        Map<String, String> line = last(harness);
        assertEquals(line.get("openJobs"), "1");
        assertEquals(line.get("listed"), "3");
        assertEquals(line.get("silent"), "1");
        assertEquals(line.get("usable"), "2");
        assertEquals(line.get("quarantined"), "0");
        assertEquals(line.get("totalAccelerators"), "24");
        int runs = Integer.parseInt(line.get("runs"));
        assertEquals(Integer.parseInt(line.get("waitingTasks")), 5 - runs);
    }

    // Guards against fragmentation that the line does not show: free accelerators beside runs hold no wide task.
    @Test
    public void tellsIdleWorkersFromFreeAcceleratorsBesideRuns() {
        OwnerHarness harness = new OwnerHarness().workers(3).takeOver().run(3500);
        harness.submit("job", 1, OwnerHarness.tasks(1, 3, 60_000)).run(3000);
        Map<String, String> line = last(harness);
        assertEquals(line.get("freeAccelerators"), "21");
        assertEquals(line.get("idleAccelerators"), "16");
    }

    @Test
    public void showsLateTicksAndSlowAppends() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(4050);
        assertEquals(last(harness).get("maxTickGapMs"), "100");
        assertEquals(last(harness).get("maxAppendMs"), Long.toString(OwnerHarness.STORE_LATENCY_MS));
        harness.storeDown = true;
        harness.run(1900);
        harness.storeDown = false;
        harness.run(200);
        assertTrue(
                Long.parseLong(last(harness).get("maxAppendMs")) > 1000,
                last(harness).toString());
    }

    @Test
    public void countsEndsReleasesStopsAndRestarts() {
        OwnerHarness harness =
                new OwnerHarness().workers(1).takeOver().submit("job", 1, OwnerHarness.tasks(2, 4, 3000));
        harness.run(1500);
        harness.workers.values().iterator().next().restart();
        harness.run(6000);
        harness.submit("other", 1, OwnerHarness.tasks(1, 4, 9000)).run(1500);
        harness.cancel("other").run(2000);
        assertEquals(harness.counts.get("workers.restarted"), Integer.valueOf(1));
        assertEquals(harness.counts.get("runs.released.worker-restarted"), Integer.valueOf(2));
        assertEquals(harness.counts.get("runs.ended.DONE"), Integer.valueOf(2));
        assertEquals(harness.counts.get("runs.stopped.cancelled"), Integer.valueOf(1));
    }

    @Test
    public void endOfAJobNamesWorkspaceAndQueue() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().submit("job", 1, OwnerHarness.tasks(1, 4, 500));
        harness.run(3000);
        Map<String, String> ended = harness.lines.only("job-ended");
        assertEquals(ended.get("workspace"), "ws");
        assertEquals(ended.get("queue"), "q1");
    }
}
