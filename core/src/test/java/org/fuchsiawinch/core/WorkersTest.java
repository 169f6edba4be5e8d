package org.fuchsiawinch.core;

import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.PART;
import static org.fuchsiawinch.core.SchedulerFixture.job;
import static org.fuchsiawinch.core.SchedulerFixture.shape;
import static org.fuchsiawinch.core.SchedulerFixture.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against workers overcommitted in a resource other than accelerators, starts on unavailable workers, and run
 * time estimates that ignore the slowest worker of a gang.
 */
public class WorkersTest {

    private static SchedulerFixture fixture(SchedulerFeature off) {
        return SchedulerFixture.disabling(off).policy(Map.of("a", workspace()));
    }

    @Test
    public void noneOfTheFiveResourcesIsOvercommitted() {
        Resources full = PART.times(8);
        Resources[] tight = {
            new Resources(3000, full.memoryMb(), 8, 8, 8),
            new Resources(full.cpuMillis(), 3 * 1024, 8, 8, 8),
            new Resources(full.cpuMillis(), full.memoryMb(), 3, 8, 8),
            new Resources(full.cpuMillis(), full.memoryMb(), 8, 3, 8),
            new Resources(full.cpuMillis(), full.memoryMb(), 8, 8, 3)
        };
        for (Resources capacity : tight) {
            assertEquals(starts(null, capacity), 3, capacity.toString());
        }
        assertEquals(starts(SchedulerFeature.ALL_RESOURCES, tight[1]), 8);
    }

    private static int starts(SchedulerFeature off, Resources capacity) {
        SchedulerFixture fixture = fixture(off).worker("w0", "a1", capacity, 1.0);
        for (int i = 0; i < 8; i++) {
            fixture.submit(job("j" + i, "a", 1));
        }
        return fixture.running.size();
    }

    @Test
    public void leavingUnreachableAndLostWorkersReceiveNoWork() {
        WorkerId id = new WorkerId("w0");
        for (SchedulerEvent event : new SchedulerEvent[] {
            new SchedulerEvent.WorkerLeaving(id),
            new SchedulerEvent.WorkerUnreachable(id),
            new SchedulerEvent.WorkerLost(id)
        }) {
            SchedulerFixture fixture = fixture(null).workers(1, 8).send(event).submit(job("j", "a", 1));
            assertFalse(fixture.runs("j"), event.toString());
            assertTrue(fixture.workers(1, 8).runs("j"), "after it joined again");
        }
    }

    @Test
    public void runTimeIsThatOfTheSlowestWorker() {
        SchedulerFixture fixture = fixture(null).worker("w0", "a1", 1, 2.0).worker("w1", "a1", 1, 0.5);
        fixture.submit(job("j", "a", shape(2, Adjacency.RACK), 60_000));
        assertEquals(fixture.start("j").reason().estimatedRunMs(), 120_000);
    }
}
