package org.fuchsiawinch.core;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.WorkerId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.Cell.HOUR_MS;
import static org.fuchsiawinch.core.Cell.job;
import static org.fuchsiawinch.core.Cell.shape;
import static org.fuchsiawinch.core.Cell.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class GangsTest {

    private static Cell cell(SchedulerFeature off) {
        return Cell.with(off).policy(Map.of("a", workspace()));
    }

    @Test
    public void partsStayWithinTheirDomain() {
        for (Adjacency adjacency : Adjacency.values()) {
            Cell on = Cell.with(SchedulerFeature.IMPOSSIBLE_CHECK);
            assertFalse(startsAcross(on, adjacency), adjacency.toString());
            Cell off = Cell.without(SchedulerFeature.IMPOSSIBLE_CHECK, SchedulerFeature.ADJACENCY);
            assertTrue(startsAcross(off, adjacency), adjacency.toString());
        }
    }

    /** Submits a gang that fits on two workers together, which are in different adjacency domains. */
    private static boolean startsAcross(Cell cell, Adjacency adjacency) {
        String second = adjacency == Adjacency.DATA_CENTRE ? "b1" : adjacency == Adjacency.RACK ? "a2" : "a1";
        return cell.policy(Map.of("a", workspace()))
                .worker("w0", "a1", 4, 1.0)
                .worker("w1", second, 4, 1.0)
                .submit(job("j", "a", shape(8, adjacency), HOUR_MS))
                .runs("j");
    }

    @Test
    public void gangOfSixtyFourPartsStartsWhole() {
        Cell cell = cell(null).workers(8, 8);
        cell.send(new SchedulerEvent.WorkerUnreachable(new WorkerId("w7")))
                .submit(job("j", "a", shape(64, Adjacency.RACK), HOUR_MS));
        assertFalse(cell.runs("j"));
        cell.worker("w7", "a1", 8, 1.0);
        Set<Integer> parts =
                cell.start("j").placements().stream().map(p -> p.part()).collect(Collectors.toSet());
        assertEquals(parts.size(), 64);
    }

    @Test
    public void lossOfAPartStopsTheRest() {
        assertEquals(stopsAfterLoss(null), List.of("j"));
        assertEquals(stopsAfterLoss(SchedulerFeature.GANG_STOP), List.of());
    }

    private static List<String> stopsAfterLoss(SchedulerFeature off) {
        return cell(off)
                .workers(2, 4)
                .submit(job("j", "a", shape(8, Adjacency.RACK), HOUR_MS))
                .lose("w1")
                .stops();
    }

    @Test
    public void brokenWorkRunsAgainOnlyIfThatIsHarmless() {
        Cell cell = cell(null).workers(1, 8).submit(job("j", "a", shape(2, Adjacency.WORKER), HOUR_MS, true, false));
        cell.fail("j", TaskFailure.WORKER_LOST).stopped("j", false);
        assertTrue(cell.runs("j"));
        assertTrue(cell.end().isEmpty());

        for (boolean checkpointable : new boolean[] {false, true}) {
            String id = "once" + checkpointable;
            cell.submit(job(id, "a", shape(2, Adjacency.WORKER), HOUR_MS, false, checkpointable));
            cell.fail(id, TaskFailure.WORKER_LOST).stopped(id, false);
            assertFalse(cell.runs(id));
            assertTrue(cell.end().orElseThrow().ran());
        }
    }

    @Test
    public void cancelStopsARunningGangAndEndsAWaitingOne() {
        Cell cell = cell(null).workers(1, 8).submit(job("j0", "a", 8)).submit(job("j1", "a", 8));
        cell.send(new SchedulerEvent.JobCancelled(job("j1", "a", 8).id()));
        assertFalse(cell.end().orElseThrow().ran());
        cell.send(new SchedulerEvent.JobCancelled(job("j0", "a", 8).id()));
        assertEquals(cell.stops(), List.of("j0"));
        cell.stopped("j0", false);
        assertTrue(cell.end().orElseThrow().ran());
    }
}
