package org.fuchsiawinch.core;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.WorkerId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.HOUR_MS;
import static org.fuchsiawinch.core.SchedulerFixture.job;
import static org.fuchsiawinch.core.SchedulerFixture.shape;
import static org.fuchsiawinch.core.SchedulerFixture.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against gangs that start or continue in part, span adjacency domains, or run again although not repeatable.
 */
public class GangsTest {

    private static SchedulerFixture fixture(SchedulerFeature off) {
        return SchedulerFixture.disabling(off).policy(Map.of("a", workspace()));
    }

    @Test
    public void partsStayWithinOneAdjacencyDomain() {
        for (Adjacency adjacency : Adjacency.values()) {
            SchedulerFixture on = SchedulerFixture.disabling(SchedulerFeature.IMPOSSIBLE_CHECK);
            assertFalse(startsAcrossDomains(on, adjacency), adjacency.toString());
            SchedulerFixture off =
                    SchedulerFixture.disabling(SchedulerFeature.IMPOSSIBLE_CHECK, SchedulerFeature.ADJACENCY);
            assertTrue(startsAcrossDomains(off, adjacency), adjacency.toString());
        }
    }

    /** Submits a gang that fits on two workers together, which are in different adjacency domains. */
    private static boolean startsAcrossDomains(SchedulerFixture fixture, Adjacency adjacency) {
        String second = adjacency == Adjacency.DATA_CENTRE ? "b1" : adjacency == Adjacency.RACK ? "a2" : "a1";
        return fixture.policy(Map.of("a", workspace()))
                .worker("w0", "a1", 4, 1.0)
                .worker("w1", second, 4, 1.0)
                .submit(job("j", "a", shape(8, adjacency), HOUR_MS))
                .runs("j");
    }

    @Test
    public void gangOfSixtyFourPartsStartsWhole() {
        SchedulerFixture fixture = fixture(null).workers(8, 8);
        fixture.send(new SchedulerEvent.WorkerUnreachable(new WorkerId("w7")))
                .submit(job("j", "a", shape(64, Adjacency.RACK), HOUR_MS));
        assertFalse(fixture.runs("j"));
        fixture.worker("w7", "a1", 8, 1.0);
        Set<Integer> parts =
                fixture.start("j").placements().stream().map(p -> p.part()).collect(Collectors.toSet());
        assertEquals(parts.size(), 64);
    }

    @Test
    public void lossOfAPartStopsTheRest() {
        assertEquals(stopsAfterLoss(null), List.of("j"));
        assertEquals(stopsAfterLoss(SchedulerFeature.GANG_STOP), List.of());
    }

    private static List<String> stopsAfterLoss(SchedulerFeature off) {
        return fixture(off)
                .workers(2, 4)
                .submit(job("j", "a", shape(8, Adjacency.RACK), HOUR_MS))
                .loseWorker("w1")
                .stoppedJobs();
    }

    @Test
    public void brokenGangIsRetriedOnlyIfIdempotent() {
        SchedulerFixture fixture =
                fixture(null).workers(1, 8).submit(job("j", "a", shape(2, Adjacency.WORKER), HOUR_MS, true, false));
        fixture.fail("j", TaskFailure.WORKER_LOST).stopped("j", false);
        assertTrue(fixture.runs("j"));
        assertTrue(fixture.end().isEmpty());

        for (boolean checkpointable : new boolean[] {false, true}) {
            String id = "once" + checkpointable;
            fixture.submit(job(id, "a", shape(2, Adjacency.WORKER), HOUR_MS, false, checkpointable));
            fixture.fail(id, TaskFailure.WORKER_LOST).stopped(id, false);
            assertFalse(fixture.runs(id));
            assertTrue(fixture.end().orElseThrow().ran());
        }
    }

    @Test
    public void cancelStopsARunningGangAndEndsAWaitingOne() {
        SchedulerFixture fixture =
                fixture(null).workers(1, 8).submit(job("j0", "a", 8)).submit(job("j1", "a", 8));
        fixture.send(new SchedulerEvent.JobCancelled(job("j1", "a", 8).id()));
        assertFalse(fixture.end().orElseThrow().ran());
        fixture.send(new SchedulerEvent.JobCancelled(job("j0", "a", 8).id()));
        assertEquals(fixture.stoppedJobs(), List.of("j0"));
        fixture.stopped("j0", false);
        assertTrue(fixture.end().orElseThrow().ran());
    }
}
