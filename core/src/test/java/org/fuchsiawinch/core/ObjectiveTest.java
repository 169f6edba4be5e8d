package org.fuchsiawinch.core;

import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.HOUR_MS;
import static org.fuchsiawinch.core.SchedulerFixture.guarantee;
import static org.fuchsiawinch.core.SchedulerFixture.job;
import static org.fuchsiawinch.core.SchedulerFixture.shape;
import static org.fuchsiawinch.core.SchedulerFixture.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/** Guards against placements and queue orders that ignore the weights of the document's objective. */
public class ObjectiveTest {

    private static final double COMPLETION_FIRST = 0.1;
    private static final double FRAGMENTATION_FIRST = 0.9;

    @Test
    public void completionPrefersTheFastWorkerAndFragmentationTheUsedOne() {
        assertEquals(secondWorker(null, COMPLETION_FIRST), "fast");
        assertEquals(secondWorker(null, FRAGMENTATION_FIRST), "slow");
        assertEquals(
                secondWorker(SchedulerFeature.OBJECTIVE, COMPLETION_FIRST),
                secondWorker(SchedulerFeature.OBJECTIVE, FRAGMENTATION_FIRST));
    }

    private static String secondWorker(SchedulerFeature off, double fragmentationShare) {
        SchedulerFixture fixture = fixture(off, fragmentationShare).worker("slow", "a1", 8, 1.0);
        fixture.submit(job("first", "a", 1)).worker("fast", "a1", 8, 2.0).submit(job("second", "a", 1));
        return fixture.workersOf("second").get(0);
    }

    private static SchedulerFixture fixture(SchedulerFeature off, double fragmentationShare) {
        return SchedulerFixture.disabling(off)
                .send(new SchedulerEvent.PolicyChanged(SchedulerFixture.policyOf(
                        Map.of("a", workspace(), "b", workspace(guarantee(8, 0))), fragmentationShare)));
    }

    @Test
    public void fragmentationKeepsWholeWorkersFree() {
        assertEquals(workersUsed(null, FRAGMENTATION_FIRST), 1);
        assertEquals(workersUsed(null, 0.0), 2);
    }

    /** Starts one small job on the only worker and a second one after a faster worker has joined. */
    private static long workersUsed(SchedulerFeature off, double fragmentationShare) {
        SchedulerFixture fixture = fixture(off, fragmentationShare).worker("w0", "a1", 2, 1.0);
        fixture.submit(job("first", "a", 1)).worker("w1", "a1", 8, 1.5).submit(job("second", "a", 1));
        return fixture.running.values().stream()
                .map(start -> start.placements().get(0).worker())
                .distinct()
                .count();
    }

    @Test
    public void completionLetsShortJobsOvertake() {
        assertEquals(firstStarted(null, 0.0), "short");
        assertEquals(firstStarted(null, 1.0), "long");
        assertNotEquals(firstStarted(SchedulerFeature.OBJECTIVE, 0.0), "short");
    }

    private static String firstStarted(SchedulerFeature off, double fragmentationShare) {
        SchedulerFixture fixture =
                fixture(off, fragmentationShare).workers(1, 1).submit(job("running", "a", 1));
        fixture.submit(job("long", "a", shape(1, Adjacency.WORKER), HOUR_MS))
                .submit(job("short", "a", shape(1, Adjacency.RACK), 1_000));
        fixture.at(1_000).complete("running");
        return fixture.running.keySet().iterator().next().job().value();
    }
}
