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

import static org.fuchsiawinch.core.Cell.HOUR_MS;
import static org.fuchsiawinch.core.Cell.guarantee;
import static org.fuchsiawinch.core.Cell.job;
import static org.fuchsiawinch.core.Cell.shape;
import static org.fuchsiawinch.core.Cell.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class GuaranteesTest {

    private static Cell cell(SchedulerFeature off) {
        return Cell.with(off)
                .policy(Map.of("a", workspace(guarantee(8, 1)), "b", workspace()))
                .workers(2, 8);
    }

    @Test
    public void workThatMayNotBeRepeatedStaysOffGuaranteedCapacity() {
        assertEquals(firmStarts(null), 8);
        assertEquals(firmStarts(SchedulerFeature.GUARANTEE_PROTECTION), 16);
    }

    private static int firmStarts(SchedulerFeature off) {
        Cell cell = cell(off);
        for (int i = 0; i < 16; i++) {
            cell.submit(job("b" + i, "b", shape(1, Adjacency.WORKER), HOUR_MS, false, false));
        }
        if (off == null) {
            assertEquals(cell.waits("b15").orElseThrow(), ReasonCode.WAIT_NOT_ON_LENT);
        }
        return cell.running.size();
    }

    @Test
    public void lentWorkIsStoppedForAGuarantee() {
        Cell cell = lentEverywhere(null).submit(job("a1", "a", 8));
        assertEquals(cell.stops(), List.of("b1"));
        assertEquals(cell.waits("a1").orElseThrow(), ReasonCode.WAIT_RECLAIM);
        cell.at(1000).stopped("b1", false);
        assertTrue(cell.runs("a1"));
        assertFalse(cell.start("a1").lent());
        assertEquals(cell.waits("b1").orElseThrow(), ReasonCode.WAIT_CAPACITY);

        Cell without = lentEverywhere(SchedulerFeature.RECLAIM).submit(job("a1", "a", 8));
        assertTrue(without.stops().isEmpty());
        assertFalse(without.runs("a1"));
    }

    private static Cell lentEverywhere(SchedulerFeature off) {
        return cell(off).submit(job("b0", "b", 8)).at(HOUR_MS / 2).submit(job("b1", "b", 8));
    }

    @Test
    public void reclaimLosesTheLeastWork() {
        assertEquals(victim(null), List.of("b1"));
        assertEquals(victim(SchedulerFeature.CHEAPEST_VICTIMS), List.of("b0"));
    }

    private static List<String> victim(SchedulerFeature off) {
        Cell cell = Cell.with(off)
                .policy(Map.of("a", workspace(guarantee(4, 1)), "b", workspace()))
                .worker("w0", "a1", 8, 1.0);
        cell.submit(job("b0", "b", 4)).at(HOUR_MS / 2).submit(job("b1", "b", 4));
        return cell.submit(job("a1", "a", 4)).stops();
    }

    @Test
    public void checkpointableVictimsAreCheckpointed() {
        Cell cell = cell(null);
        cell.submit(job("b0", "b", 8)).submit(job("b1", "b", shape(8, Adjacency.WORKER), HOUR_MS, false, true));
        cell.at(HOUR_MS / 2).submit(job("a1", "a", 8));
        Decision.StopGang stop = cell.decisions(Decision.StopGang.class).get(0);
        assertEquals(stop.attempt().job(), new JobId("b1"));
        assertEquals(stop.mode(), StopMode.CHECKPOINT);
    }

    @Test
    public void capacityUnderReclaimIsHeldForItsClaimant() {
        Cell cell = lentEverywhere(null).submit(job("a1", "a", 8)).submit(job("b2", "b", 8));
        assertTrue(cell.stops().isEmpty(), "no second victim");
        cell.at(HOUR_MS / 2 + 1000).stopped("b1", false);
        assertTrue(cell.runs("a1"));
        assertFalse(cell.runs("b2"));
    }

    @Test
    public void guaranteesOfAllWorkspacesHoldTogether() {
        Cell cell = Cell.with(null)
                .policy(Map.of("a", workspace(guarantee(8, 1)), "b", workspace(guarantee(8, 1)), "c", workspace()))
                .workers(2, 8)
                .submit(job("c0", "c", 8))
                .submit(job("c1", "c", 8))
                .submit(job("a0", "a", 8))
                .submit(job("b0", "b", 8));
        cell.stopped("c0", false).stopped("c1", false);
        assertTrue(cell.runs("a0"));
        assertTrue(cell.runs("b0"));
    }

    @Test
    public void smallJobLeavesTheLargeGuaranteeWhole() {
        Cell cell = Cell.with(null)
                .policy(Map.of("a", workspace(guarantee(8, 1), guarantee(2, 1)), "b", workspace()))
                .workers(2, 8)
                .submit(job("b0", "b", 8))
                .submit(job("b1", "b", 8))
                .submit(job("small", "a", 2))
                .submit(job("large", "a", 8));
        assertEquals(cell.waits("small").orElseThrow(), ReasonCode.WAIT_RECLAIM);
        assertEquals(cell.waits("large").orElseThrow(), ReasonCode.WAIT_RECLAIM);
    }

    @Test
    public void smallJobGivesTheLargeGuaranteeBack() {
        Cell cell = Cell.with(null)
                .policy(Map.of("a", workspace(guarantee(8, 1), guarantee(2, 1)), "b", workspace()))
                .workers(2, 8)
                .submit(job("small0", "a", 2))
                .submit(job("small1", "a", 2))
                .submit(job("b0", "b", 8));
        cell.complete("small0").submit(job("large", "a", 8));
        assertEquals(cell.waits("large").orElseThrow(), ReasonCode.WAIT_RECLAIM);
        assertEquals(cell.stops().size(), 1);
    }

    @Test
    public void lentWorkIsPromotedWhenItsGuaranteeHasRoom() {
        assertEquals(promotions(null), 1);
        assertEquals(promotions(SchedulerFeature.PROMOTION), 0);
    }

    private static int promotions(SchedulerFeature off) {
        Cell cell = cell(off).submit(job("a0", "a", 8)).submit(job("a1", "a", 8));
        assertFalse(cell.start("a0").lent());
        assertTrue(cell.start("a1").lent());
        cell.at(1000).complete("a0");
        return cell.decisions(Decision.PromoteGang.class).size();
    }

    @Test
    public void lossOfTheLastShapeIsToldOnce() {
        Cell cell = cell(null).lose("w0");
        assertTrue(cell.decisions(Decision.GuaranteeLost.class).isEmpty(), "moved to the other worker");
        cell.lose("w1");
        assertEquals(cell.decisions(Decision.GuaranteeLost.class).size(), 1);
        cell.tick(1000);
        assertTrue(cell.decisions(Decision.GuaranteeLost.class).isEmpty());
        cell.worker("w2", "a1", 8, 1.0).lose("w2");
        assertEquals(cell.decisions(Decision.GuaranteeLost.class).size(), 1);
    }

    @Test
    public void recoveredWorkCountsToItsGuarantee() {
        Cell cell = cell(null);
        List<Placement> placements = new java.util.ArrayList<>();
        for (int part = 0; part < 8; part++) {
            placements.add(new Placement(part, new WorkerId("w0")));
        }
        AttemptId attempt = new AttemptId(new JobId("a0"), 1);
        cell.send(new SchedulerEvent.AttemptRecovered(job("a0", "a", 8), attempt, placements, 0));
        cell.submit(job("a1", "a", 8)).submit(job("b0", "b", 8));
        assertTrue(cell.start("a1").lent(), "the guarantee is in use");
        assertEquals(cell.workersOf("a1"), List.of("w1"));
        assertFalse(cell.runs("b0"));
    }
}
