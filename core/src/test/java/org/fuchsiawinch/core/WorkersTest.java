package org.fuchsiawinch.core;

import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.Cell.PART;
import static org.fuchsiawinch.core.Cell.job;
import static org.fuchsiawinch.core.Cell.shape;
import static org.fuchsiawinch.core.Cell.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WorkersTest {

    private static Cell cell(SchedulerFeature off) {
        return Cell.with(off).policy(Map.of("a", workspace()));
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
        Cell cell = cell(off).worker("w0", "a1", capacity, 1.0);
        for (int i = 0; i < 8; i++) {
            cell.submit(job("j" + i, "a", 1));
        }
        return cell.running.size();
    }

    @Test
    public void leavingDoubtfulAndLostWorkersGetNothing() {
        WorkerId id = new WorkerId("w0");
        for (SchedulerEvent closing : new SchedulerEvent[] {
            new SchedulerEvent.WorkerLeaving(id),
            new SchedulerEvent.WorkerUnreachable(id),
            new SchedulerEvent.WorkerLost(id)
        }) {
            Cell cell = cell(null).workers(1, 8).send(closing).submit(job("j", "a", 1));
            assertFalse(cell.runs("j"), closing.toString());
            assertTrue(cell.workers(1, 8).runs("j"), "after it joined again");
        }
    }

    @Test
    public void runTimeIsThatOfTheSlowestWorker() {
        Cell cell = cell(null).worker("w0", "a1", 1, 2.0).worker("w1", "a1", 1, 0.5);
        cell.submit(job("j", "a", shape(2, Adjacency.RACK), 60_000));
        assertEquals(cell.start("j").reason().estimatedRunMs(), 120_000);
    }
}
