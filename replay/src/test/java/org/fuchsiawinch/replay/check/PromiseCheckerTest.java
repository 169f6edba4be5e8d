package org.fuchsiawinch.replay.check;

import java.util.Optional;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.replay.engine.ProtocolTimes;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.history.PartEnd;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Checks a history that keeps all promises and, for each promise, histories that break it or just keep it. */
public class PromiseCheckerTest {

    private static final long NO_LIMIT = Long.MAX_VALUE;

    @Test
    public void wholeRunBreaksNothing() {
        Facts facts = twoPartsStart().result(20_000, "j");
        assertEquals(facts.brokenInAll(), 0);
    }

    @Test
    public void overcommitIsFoundInTheResourceThatRunsOut() {
        Facts facts = fleet().submit(0, Facts.job("a", 2, true)).submit(0, Facts.job("b", 1, true));
        facts.partStarts(1, "a", 1, 0, "w1").partStarts(1, "a", 1, 1, "w1");
        assertEquals(facts.broken(Promise.NO_OVERCOMMIT), 0);
        facts.partStarts(2, "b", 1, 0, "w1");
        assertEquals(facts.broken(Promise.NO_OVERCOMMIT), 1);
    }

    @Test
    public void capacityIsFreeAgainOncePartsHaveEnded() {
        Facts facts = fleet().submit(0, Facts.job("a", 2, true)).submit(0, Facts.job("b", 1, true));
        facts.partStarts(1, "a", 1, 0, "w1").partStarts(1, "a", 1, 1, "w1");
        facts.partEnds(2, "a", 1, 0, PartEnd.COMPLETED).partStarts(3, "b", 1, 0, "w1");
        assertEquals(facts.broken(Promise.NO_OVERCOMMIT), 0);
    }

    @Test
    public void partThatRunsOnAfterTheLossOfAnotherBreaksTheGang() {
        Facts facts = twoPartsStartOnly().partEnds(5_000, "j", 1, 0, PartEnd.LOST);
        facts.partEnds(5_000 + ProtocolTimes.GANG_WINDOW_MS + 1, "j", 1, 1, PartEnd.STOPPED);
        assertEquals(facts.broken(Promise.GANG_WHOLE), 1);
    }

    @Test
    public void partThatStopsWithinTheWindowKeepsTheGang() {
        Facts facts = twoPartsStartOnly().partEnds(5_000, "j", 1, 0, PartEnd.LOST);
        facts.partEnds(5_000 + ProtocolTimes.GANG_WINDOW_MS, "j", 1, 1, PartEnd.STOPPED);
        assertEquals(facts.broken(Promise.GANG_WHOLE), 0);
    }

    @Test
    public void gangWithAPartThatNeverStartedIsBroken() {
        Facts facts = fleet().submit(0, Facts.job("j", 2, true)).partStarts(1_000, "j", 1, 0, "w1");
        facts.partEnds(1_001 + ProtocolTimes.GANG_WINDOW_MS, "j", 1, 0, PartEnd.STOPPED);
        assertEquals(facts.broken(Promise.GANG_WHOLE), 1);
    }

    @Test
    public void guaranteedSubmitThatDoesNotStartInTimeIsFound() {
        Facts facts = fleet().submit(1_000, Facts.job("j", 2, true));
        assertEquals(facts.broken(Promise.GUARANTEE_RECLAIMABLE), 0);
        facts.partStarts(1_001 + Facts.BOUND_MS, "j", 1, 0, "w1");
        assertEquals(facts.broken(Promise.GUARANTEE_RECLAIMABLE), 1);
    }

    @Test
    public void submitBeyondTheGuaranteeHasNoBound() {
        Facts facts = fleet().submit(1_000, Facts.job("first", 2, true)).submit(1_000, Facts.job("second", 2, true));
        facts.partStarts(2_000, "first", 1, 0, "w1").partStarts(2_000, "first", 1, 1, "w1");
        facts.partStarts(1_001 + Facts.BOUND_MS, "second", 1, 0, "w2");
        assertEquals(facts.broken(Promise.GUARANTEE_RECLAIMABLE), 0);
    }

    @Test
    public void lostWorkersExcuseAGuaranteeThatTheyAloneCouldHold() {
        Facts facts = fleet().submit(1_000, Facts.job("j", 2, true));
        facts.add(new HistoryEvent.WorkerDown(1_500, new WorkerId("w1")));
        facts.add(new HistoryEvent.WorkerDown(1_500, new WorkerId("w2")));
        facts.partStarts(500_000, "j", 1, 0, "w1");
        assertEquals(facts.broken(Promise.GUARANTEE_RECLAIMABLE), 0);
    }

    @Test
    public void lentWorkInTheWayIsNoExcuseAndWorkInsideAGuaranteeIs() {
        assertEquals(lateBehindOtherWorkspace(2).broken(Promise.GUARANTEE_RECLAIMABLE), 0);
        assertEquals(lateBehindOtherWorkspace(1, 1).broken(Promise.GUARANTEE_RECLAIMABLE), 1);
    }

    @Test
    public void refusalOfAGuaranteedSubmitIsFound() {
        Facts facts = fleet().submit(1_000, Facts.job("j", 2, true));
        facts.endTold(1_100, "j", false, ReasonCode.END_SYSTEM_QUEUE_FULL);
        assertEquals(facts.broken(Promise.GUARANTEE_RECLAIMABLE), 1);
    }

    @Test
    public void runAfterNotRunWasToldIsFound() {
        Facts facts = fleet().submit(0, Facts.job("j", 1, true));
        facts.endTold(10, "j", false, ReasonCode.END_CANCELLED).partStarts(20, "j", 1, 0, "w1");
        assertEquals(facts.broken(Promise.NOT_RUN_IS_TRUE), 1);
    }

    @Test
    public void notRunToldAfterARunIsFound() {
        Facts facts = fleet().submit(0, Facts.job("j", 1, true)).partStarts(20, "j", 1, 0, "w1");
        facts.endTold(30, "j", false, ReasonCode.END_CANCELLED);
        assertEquals(facts.broken(Promise.NOT_RUN_IS_TRUE), 1);
    }

    @Test
    public void secondRunOfNonIdempotentJobIsFound() {
        assertEquals(secondRunAfter(PartEnd.LOST, false).broken(Promise.AT_MOST_ONCE), 1);
        assertEquals(secondRunAfter(PartEnd.CHECKPOINTED, false).broken(Promise.AT_MOST_ONCE), 0);
        assertEquals(secondRunAfter(PartEnd.LOST, true).broken(Promise.AT_MOST_ONCE), 0);
    }

    @Test
    public void startOnAClosedWorkerIsFound() {
        Facts facts = fleet().submit(0, Facts.job("j", 1, true));
        facts.add(new HistoryEvent.WorkerClosed(10, new WorkerId("w1")));
        facts.decide(20, "j", 1, "w1");
        assertEquals(facts.broken(Promise.NO_WORK_ON_CLOSED_WORKER), 1);
    }

    @Test
    public void startOnAWorkerThatLeavesUnnoticedIsFoundAfterTheBound() {
        Facts facts = fleet().submit(0, Facts.job("j", 1, true));
        facts.add(new HistoryEvent.WorkerDown(10, new WorkerId("w1")));
        facts.decide(10 + ProtocolTimes.LEAVING_BOUND_MS, "j", 1, "w1");
        assertEquals(facts.broken(Promise.NO_WORK_ON_CLOSED_WORKER), 0);
        facts.decide(11 + ProtocolTimes.LEAVING_BOUND_MS, "j", 2, "w1");
        assertEquals(facts.broken(Promise.NO_WORK_ON_CLOSED_WORKER), 1);
    }

    @Test
    public void jobWithoutOutcomeIsFoundUnlessItWaitsForAReason() {
        Facts facts = fleet().submit(0, Facts.job("j", 4, true));
        assertEquals(facts.broken(Promise.ONE_ANSWER), 1);
        facts.add(new HistoryEvent.JobOpenAtEnd(9, new JobId("j"), false, Optional.empty()));
        assertEquals(facts.broken(Promise.ONE_ANSWER), 1);
        facts.add(new HistoryEvent.JobOpenAtEnd(9, new JobId("j"), false, Optional.of(ReasonCode.WAIT_CAPACITY)));
        assertEquals(facts.broken(Promise.ONE_ANSWER), 0);
    }

    @Test
    public void secondOutcomeIsFound() {
        Facts facts = twoPartsStart().result(20_000, "j").endTold(20_001, "j", true, ReasonCode.END_CANCELLED);
        assertEquals(facts.broken(Promise.ONE_ANSWER), 1);
    }

    @Test
    public void spendOverTheLimitIsFound() {
        assertEquals(twoAcceleratorsForAnHour(2 * 3_600_000).broken(Promise.SPEND_WITHIN_LIMIT), 0);
        assertEquals(twoAcceleratorsForAnHour(2 * 3_600_000 - 1).broken(Promise.SPEND_WITHIN_LIMIT), 1);
    }

    /**
     * Another workspace's gangs use two of a worker's three accelerators while a guaranteed gang of two waits beyond
     * its bound.
     */
    private static Facts lateBehindOtherWorkspace(int... gangs) {
        Facts facts = new Facts().policyInForce(NO_LIMIT).worker("w1", 3);
        for (int index = 0; index < gangs.length; index++) {
            String job = "other-" + index;
            facts.submit(0, Facts.jobOf("others", job, gangs[index], true));
            for (int part = 0; part < gangs[index]; part++) {
                facts.partStarts(1, job, 1, part, "w1");
            }
        }
        facts.submit(1_000, Facts.job("j", 2, true));
        return facts.partStarts(1_001 + Facts.BOUND_MS, "j", 1, 0, "w1");
    }

    private static Facts fleet() {
        return new Facts().policyInForce(NO_LIMIT).worker("w1", 2).worker("w2", 2);
    }

    private static Facts twoPartsStartOnly() {
        return fleet().submit(0, Facts.job("j", 2, true))
                .decide(0, "j", 1, "w1", "w1")
                .partStarts(100, "j", 1, 0, "w1")
                .partStarts(100, "j", 1, 1, "w1");
    }

    private static Facts twoPartsStart() {
        return twoPartsStartOnly()
                .partEnds(19_000, "j", 1, 0, PartEnd.COMPLETED)
                .partEnds(19_000, "j", 1, 1, PartEnd.COMPLETED);
    }

    private static Facts secondRunAfter(PartEnd end, boolean idempotent) {
        return fleet().submit(0, Facts.job("j", 1, idempotent))
                .partStarts(10, "j", 1, 0, "w1")
                .partEnds(20, "j", 1, 0, end)
                .partStarts(30, "j", 2, 0, "w1");
    }

    private static Facts twoAcceleratorsForAnHour(long limitMicros) {
        return new Facts()
                .policyInForce(limitMicros)
                .worker("w1", 2)
                .submit(0, Facts.job("j", 2, true))
                .decide(0, "j", 1, "w1", "w1")
                .partStarts(0, "j", 1, 0, "w1")
                .partStarts(0, "j", 1, 1, "w1")
                .partEnds(3_600_000, "j", 1, 0, PartEnd.COMPLETED)
                .partEnds(3_600_000, "j", 1, 1, PartEnd.COMPLETED);
    }
}
