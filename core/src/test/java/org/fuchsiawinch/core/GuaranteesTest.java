package org.fuchsiawinch.core;

import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.WorkerId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.HOUR_MS;
import static org.fuchsiawinch.core.SchedulerFixture.guarantee;
import static org.fuchsiawinch.core.SchedulerFixture.job;
import static org.fuchsiawinch.core.SchedulerFixture.shape;
import static org.fuchsiawinch.core.SchedulerFixture.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against guarantees that cannot all be met at once, because other work occupies their capacity and cannot be
 * stopped in time. Covers protection, reclaim, victim selection, promotion and alarms.
 */
public class GuaranteesTest {

    private static SchedulerFixture fixture(SchedulerFeature off) {
        return SchedulerFixture.disabling(off)
                .policy(Map.of("a", workspace(guarantee(8, 1)), "b", workspace()))
                .workers(2, 8);
    }

    @Test
    public void nonRepeatableWorkStaysOffGuaranteedCapacity() {
        assertEquals(nonPreemptibleStarts(null), 8);
        assertEquals(nonPreemptibleStarts(SchedulerFeature.GUARANTEE_PROTECTION), 16);
    }

    private static int nonPreemptibleStarts(SchedulerFeature off) {
        SchedulerFixture fixture = fixture(off);
        for (int i = 0; i < 16; i++) {
            fixture.submit(job("b" + i, "b", shape(1, Adjacency.WORKER), HOUR_MS, false, false));
        }
        if (off == null) {
            assertEquals(fixture.waitCode("b15").orElseThrow(), ReasonCode.WAIT_NOT_ON_LENT);
        }
        return fixture.running.size();
    }

    @Test
    public void lentWorkIsStoppedForAGuarantee() {
        SchedulerFixture fixture = withAllWorkersLent(null).submit(job("a1", "a", 8));
        assertEquals(fixture.stoppedJobs(), List.of("b1"));
        assertEquals(fixture.waitCode("a1").orElseThrow(), ReasonCode.WAIT_RECLAIM);
        fixture.at(1000).stopped("b1", false);
        assertTrue(fixture.runs("a1"));
        assertFalse(fixture.start("a1").lent());
        assertEquals(fixture.waitCode("b1").orElseThrow(), ReasonCode.WAIT_CAPACITY);

        SchedulerFixture without = withAllWorkersLent(SchedulerFeature.RECLAIM).submit(job("a1", "a", 8));
        assertTrue(without.stoppedJobs().isEmpty());
        assertFalse(without.runs("a1"));
    }

    private static SchedulerFixture withAllWorkersLent(SchedulerFeature off) {
        return fixture(off).submit(job("b0", "b", 8)).at(HOUR_MS / 2).submit(job("b1", "b", 8));
    }

    @Test
    public void reclaimLosesTheLeastWork() {
        assertEquals(victims(null), List.of("b1"));
        assertEquals(victims(SchedulerFeature.CHEAPEST_VICTIMS), List.of("b0"));
    }

    private static List<String> victims(SchedulerFeature off) {
        SchedulerFixture fixture = SchedulerFixture.disabling(off)
                .policy(Map.of("a", workspace(guarantee(4, 1)), "b", workspace()))
                .worker("w0", "a1", 8, 1.0);
        fixture.submit(job("b0", "b", 4)).at(HOUR_MS / 2).submit(job("b1", "b", 4));
        return fixture.submit(job("a1", "a", 4)).stoppedJobs();
    }

    @Test
    public void checkpointableVictimsAreCheckpointed() {
        SchedulerFixture fixture = fixture(null);
        fixture.submit(job("b0", "b", 8)).submit(job("b1", "b", shape(8, Adjacency.WORKER), HOUR_MS, false, true));
        fixture.at(HOUR_MS / 2).submit(job("a1", "a", 8));
        Decision.StopGang stop = fixture.decisions(Decision.StopGang.class).get(0);
        assertEquals(stop.attempt().job(), new JobId("b1"));
        assertEquals(stop.mode(), StopMode.CHECKPOINT);
    }

    @Test
    public void reclaimedCapacityIsHeldForTheClaimingJob() {
        SchedulerFixture fixture =
                withAllWorkersLent(null).submit(job("a1", "a", 8)).submit(job("b2", "b", 8));
        assertTrue(fixture.stoppedJobs().isEmpty(), "no second victim");
        fixture.at(HOUR_MS / 2 + 1000).stopped("b1", false);
        assertTrue(fixture.runs("a1"));
        assertFalse(fixture.runs("b2"));
    }

    @Test
    public void guaranteesOfAllWorkspacesCanBeUsedAtOnce() {
        SchedulerFixture fixture = SchedulerFixture.disabling(null)
                .policy(Map.of("a", workspace(guarantee(8, 1)), "b", workspace(guarantee(8, 1)), "c", workspace()))
                .workers(2, 8)
                .submit(job("c0", "c", 8))
                .submit(job("c1", "c", 8))
                .submit(job("a0", "a", 8))
                .submit(job("b0", "b", 8));
        fixture.stopped("c0", false).stopped("c1", false);
        assertTrue(fixture.runs("a0"));
        assertTrue(fixture.runs("b0"));
    }

    @Test
    public void smallJobLeavesTheLargeGuaranteeWhole() {
        SchedulerFixture fixture = SchedulerFixture.disabling(null)
                .policy(Map.of("a", workspace(guarantee(8, 1), guarantee(2, 1)), "b", workspace()))
                .workers(2, 8)
                .submit(job("b0", "b", 8))
                .submit(job("b1", "b", 8))
                .submit(job("small", "a", 2))
                .submit(job("large", "a", 8));
        assertEquals(fixture.waitCode("small").orElseThrow(), ReasonCode.WAIT_RECLAIM);
        assertEquals(fixture.waitCode("large").orElseThrow(), ReasonCode.WAIT_RECLAIM);
    }

    @Test
    public void smallJobReleasesTheLargeGuarantee() {
        SchedulerFixture fixture = SchedulerFixture.disabling(null)
                .policy(Map.of("a", workspace(guarantee(8, 1), guarantee(2, 1)), "b", workspace()))
                .workers(2, 8)
                .submit(job("small0", "a", 2))
                .submit(job("small1", "a", 2))
                .submit(job("b0", "b", 8));
        fixture.complete("small0").submit(job("large", "a", 8));
        assertEquals(fixture.waitCode("large").orElseThrow(), ReasonCode.WAIT_RECLAIM);
        assertEquals(fixture.stoppedJobs().size(), 1);
    }

    @Test
    public void lentWorkIsPromotedWhenItsGuaranteeIsFree() {
        assertEquals(promotions(null), 1);
        assertEquals(promotions(SchedulerFeature.PROMOTION), 0);
    }

    private static int promotions(SchedulerFeature off) {
        SchedulerFixture fixture = fixture(off).submit(job("a0", "a", 8)).submit(job("a1", "a", 8));
        assertFalse(fixture.start("a0").lent());
        assertTrue(fixture.start("a1").lent());
        fixture.at(1000).complete("a0");
        return fixture.decisions(Decision.PromoteGang.class).size();
    }

    @Test
    public void lossOfTheLastShapeIsReportedOnce() {
        SchedulerFixture fixture = fixture(null).loseWorker("w0");
        assertTrue(
                fixture.decisions(Decision.GuaranteeLost.class).isEmpty(), "the guarantee moves to the other worker");
        fixture.loseWorker("w1");
        assertEquals(fixture.decisions(Decision.GuaranteeLost.class).size(), 1);
        fixture.tick(1000);
        assertTrue(fixture.decisions(Decision.GuaranteeLost.class).isEmpty());
        fixture.worker("w2", "a1", 8, 1.0).loseWorker("w2");
        assertEquals(fixture.decisions(Decision.GuaranteeLost.class).size(), 1);
    }

    @Test
    public void recoveredWorkUsesItsGuarantee() {
        SchedulerFixture fixture = fixture(null);
        List<Placement> placements = new java.util.ArrayList<>();
        for (int part = 0; part < 8; part++) {
            placements.add(new Placement(part, new WorkerId("w0")));
        }
        AttemptId attempt = new AttemptId(new JobId("a0"), 1);
        fixture.send(new SchedulerEvent.AttemptRecovered(job("a0", "a", 8), attempt, placements, 0));
        fixture.submit(job("a1", "a", 8)).submit(job("b0", "b", 8));
        assertTrue(fixture.start("a1").lent(), "the guarantee is in use");
        assertEquals(fixture.workersOf("a1"), List.of("w1"));
        assertFalse(fixture.runs("b0"));
    }
}
