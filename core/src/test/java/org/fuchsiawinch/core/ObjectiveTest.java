package org.fuchsiawinch.core;

import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.Cell.HOUR_MS;
import static org.fuchsiawinch.core.Cell.guarantee;
import static org.fuchsiawinch.core.Cell.job;
import static org.fuchsiawinch.core.Cell.shape;
import static org.fuchsiawinch.core.Cell.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

public class ObjectiveTest {

    private static final double COMPLETION_FIRST = 0.1;
    private static final double FRAGMENTATION_FIRST = 0.9;

    @Test
    public void completionFirstTakesTheFastWorkerAndFragmentationFirstTheUsedOne() {
        assertEquals(secondWorker(null, COMPLETION_FIRST), "fast");
        assertEquals(secondWorker(null, FRAGMENTATION_FIRST), "slow");
        assertEquals(
                secondWorker(SchedulerFeature.OBJECTIVE, COMPLETION_FIRST),
                secondWorker(SchedulerFeature.OBJECTIVE, FRAGMENTATION_FIRST));
    }

    private static String secondWorker(SchedulerFeature off, double fragmentationShare) {
        Cell cell = cell(off, fragmentationShare).worker("slow", "a1", 8, 1.0);
        cell.submit(job("first", "a", 1)).worker("fast", "a1", 8, 2.0).submit(job("second", "a", 1));
        return cell.workersOf("second").get(0);
    }

    private static Cell cell(SchedulerFeature off, double fragmentationShare) {
        return Cell.with(off)
                .send(new SchedulerEvent.PolicyChanged(
                        Cell.policyOf(Map.of("a", workspace(), "b", workspace(guarantee(8, 0))), fragmentationShare)));
    }

    @Test
    public void fragmentationFirstKeepsWholeWorkersFree() {
        assertEquals(workersUsed(null, FRAGMENTATION_FIRST), 1);
        assertEquals(workersUsed(null, 0.0), 2);
    }

    /** Starts one small job on the only worker and a second one after a faster worker has joined. */
    private static long workersUsed(SchedulerFeature off, double fragmentationShare) {
        Cell cell = cell(off, fragmentationShare).worker("w0", "a1", 2, 1.0);
        cell.submit(job("first", "a", 1)).worker("w1", "a1", 8, 1.5).submit(job("second", "a", 1));
        return cell.running.values().stream()
                .map(start -> start.placements().get(0).worker())
                .distinct()
                .count();
    }

    @Test
    public void completionFirstLetsShortJobsPass() {
        assertEquals(firstStarted(null, 0.0), "short");
        assertEquals(firstStarted(null, 1.0), "long");
        assertNotEquals(firstStarted(SchedulerFeature.OBJECTIVE, 0.0), "short");
    }

    private static String firstStarted(SchedulerFeature off, double fragmentationShare) {
        Cell cell = cell(off, fragmentationShare).workers(1, 1).submit(job("running", "a", 1));
        cell.submit(job("long", "a", shape(1, Adjacency.WORKER), HOUR_MS))
                .submit(job("short", "a", shape(1, Adjacency.RACK), 1_000));
        cell.at(1_000).complete("running");
        return cell.running.keySet().iterator().next().job().value();
    }
}
