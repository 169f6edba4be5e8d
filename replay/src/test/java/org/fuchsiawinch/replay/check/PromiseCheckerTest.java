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
    public void completeRunBreaksNoPromise() {
        HistoryBuilder history = completedGang().resultDelivered(20_000, "j");
        assertEquals(history.violationCount(), 0);
    }

    @Test
    public void overcommitIsFoundInTheResourceThatRunsOut() {
        HistoryBuilder history =
                twoWorkers().submit(0, HistoryBuilder.job("a", 2, true)).submit(0, HistoryBuilder.job("b", 1, true));
        history.partStarts(1, "a", 1, 0, "w1").partStarts(1, "a", 1, 1, "w1");
        assertEquals(history.violations(Promise.NO_OVERCOMMIT), 0);
        history.partStarts(2, "b", 1, 0, "w1");
        assertEquals(history.violations(Promise.NO_OVERCOMMIT), 1);
    }

    @Test
    public void capacityIsFreeAgainOncePartsHaveEnded() {
        HistoryBuilder history =
                twoWorkers().submit(0, HistoryBuilder.job("a", 2, true)).submit(0, HistoryBuilder.job("b", 1, true));
        history.partStarts(1, "a", 1, 0, "w1").partStarts(1, "a", 1, 1, "w1");
        history.partEnds(2, "a", 1, 0, PartEnd.COMPLETED).partStarts(3, "b", 1, 0, "w1");
        assertEquals(history.violations(Promise.NO_OVERCOMMIT), 0);
    }

    @Test
    public void partThatRunsOnAfterTheLossOfAnotherBreaksTheGang() {
        HistoryBuilder history = runningGang().partEnds(5_000, "j", 1, 0, PartEnd.LOST);
        history.partEnds(5_000 + ProtocolTimes.MAX_PARTIAL_GANG_MS + 1, "j", 1, 1, PartEnd.STOPPED);
        assertEquals(history.violations(Promise.GANG_WHOLE), 1);
    }

    @Test
    public void partThatStopsWithinTheWindowKeepsTheGang() {
        HistoryBuilder history = runningGang().partEnds(5_000, "j", 1, 0, PartEnd.LOST);
        history.partEnds(5_000 + ProtocolTimes.MAX_PARTIAL_GANG_MS, "j", 1, 1, PartEnd.STOPPED);
        assertEquals(history.violations(Promise.GANG_WHOLE), 0);
    }

    @Test
    public void gangWithAPartThatNeverStartedIsBroken() {
        HistoryBuilder history =
                twoWorkers().submit(0, HistoryBuilder.job("j", 2, true)).partStarts(1_000, "j", 1, 0, "w1");
        history.partEnds(1_001 + ProtocolTimes.MAX_PARTIAL_GANG_MS, "j", 1, 0, PartEnd.STOPPED);
        assertEquals(history.violations(Promise.GANG_WHOLE), 1);
    }

    @Test
    public void guaranteedSubmitThatDoesNotStartInTimeIsFound() {
        HistoryBuilder history = twoWorkers().submit(1_000, HistoryBuilder.job("j", 2, true));
        assertEquals(history.violations(Promise.GUARANTEE_RECLAIMABLE), 0);
        history.partStarts(1_001 + HistoryBuilder.BOUND_MS, "j", 1, 0, "w1");
        assertEquals(history.violations(Promise.GUARANTEE_RECLAIMABLE), 1);
    }

    @Test
    public void submitBeyondTheGuaranteeHasNoBound() {
        HistoryBuilder history = twoWorkers()
                .submit(1_000, HistoryBuilder.job("first", 2, true))
                .submit(1_000, HistoryBuilder.job("second", 2, true));
        history.partStarts(2_000, "first", 1, 0, "w1").partStarts(2_000, "first", 1, 1, "w1");
        history.partStarts(1_001 + HistoryBuilder.BOUND_MS, "second", 1, 0, "w2");
        assertEquals(history.violations(Promise.GUARANTEE_RECLAIMABLE), 0);
    }

    @Test
    public void lostWorkersExcuseAGuaranteeThatTheyAloneCouldHold() {
        HistoryBuilder history = twoWorkers().submit(1_000, HistoryBuilder.job("j", 2, true));
        history.add(new HistoryEvent.WorkerDown(1_500, new WorkerId("w1")));
        history.add(new HistoryEvent.WorkerDown(1_500, new WorkerId("w2")));
        history.partStarts(500_000, "j", 1, 0, "w1");
        assertEquals(history.violations(Promise.GUARANTEE_RECLAIMABLE), 0);
    }

    @Test
    public void lateStartIsExcusedByGuaranteedWorkButNotByLentWork() {
        assertEquals(lateStartBehindOtherWorkspace(2).violations(Promise.GUARANTEE_RECLAIMABLE), 0);
        assertEquals(lateStartBehindOtherWorkspace(1, 1).violations(Promise.GUARANTEE_RECLAIMABLE), 1);
    }

    @Test
    public void refusalOfAGuaranteedSubmitIsFound() {
        HistoryBuilder history = twoWorkers().submit(1_000, HistoryBuilder.job("j", 2, true));
        history.endReported(1_100, "j", false, ReasonCode.END_SYSTEM_QUEUE_FULL);
        assertEquals(history.violations(Promise.GUARANTEE_RECLAIMABLE), 1);
    }

    @Test
    public void runAfterReportedNotRunIsFound() {
        HistoryBuilder history = twoWorkers().submit(0, HistoryBuilder.job("j", 1, true));
        history.endReported(10, "j", false, ReasonCode.END_CANCELLED).partStarts(20, "j", 1, 0, "w1");
        assertEquals(history.violations(Promise.NOT_RUN_IS_TRUE), 1);
    }

    @Test
    public void notRunReportedAfterARunIsFound() {
        HistoryBuilder history =
                twoWorkers().submit(0, HistoryBuilder.job("j", 1, true)).partStarts(20, "j", 1, 0, "w1");
        history.endReported(30, "j", false, ReasonCode.END_CANCELLED);
        assertEquals(history.violations(Promise.NOT_RUN_IS_TRUE), 1);
    }

    @Test
    public void secondRunOfNonIdempotentJobIsFound() {
        assertEquals(secondRunAfter(PartEnd.LOST, false).violations(Promise.AT_MOST_ONCE), 1);
        assertEquals(secondRunAfter(PartEnd.CHECKPOINTED, false).violations(Promise.AT_MOST_ONCE), 0);
        assertEquals(secondRunAfter(PartEnd.LOST, true).violations(Promise.AT_MOST_ONCE), 0);
    }

    @Test
    public void startOnAClosedWorkerIsFound() {
        HistoryBuilder history = twoWorkers().submit(0, HistoryBuilder.job("j", 1, true));
        history.add(new HistoryEvent.WorkerClosed(10, new WorkerId("w1")));
        history.startDecided(20, "j", 1, "w1");
        assertEquals(history.violations(Promise.NO_WORK_ON_CLOSED_WORKER), 1);
    }

    @Test
    public void startOnADownWorkerIsFoundAfterTheDetectionBound() {
        HistoryBuilder history = twoWorkers().submit(0, HistoryBuilder.job("j", 1, true));
        history.add(new HistoryEvent.WorkerDown(10, new WorkerId("w1")));
        history.startDecided(10 + ProtocolTimes.MAX_DOWN_DETECTION_MS, "j", 1, "w1");
        assertEquals(history.violations(Promise.NO_WORK_ON_CLOSED_WORKER), 0);
        history.startDecided(11 + ProtocolTimes.MAX_DOWN_DETECTION_MS, "j", 2, "w1");
        assertEquals(history.violations(Promise.NO_WORK_ON_CLOSED_WORKER), 1);
    }

    @Test
    public void jobWithoutOutcomeIsFoundUnlessItWaitsForAReason() {
        HistoryBuilder history = twoWorkers().submit(0, HistoryBuilder.job("j", 4, true));
        assertEquals(history.violations(Promise.ONE_ANSWER), 1);
        history.add(new HistoryEvent.JobOpenAtEnd(9, new JobId("j"), false, Optional.empty()));
        assertEquals(history.violations(Promise.ONE_ANSWER), 1);
        history.add(new HistoryEvent.JobOpenAtEnd(9, new JobId("j"), false, Optional.of(ReasonCode.WAIT_CAPACITY)));
        assertEquals(history.violations(Promise.ONE_ANSWER), 0);
    }

    @Test
    public void secondOutcomeIsFound() {
        HistoryBuilder history =
                completedGang().resultDelivered(20_000, "j").endReported(20_001, "j", true, ReasonCode.END_CANCELLED);
        assertEquals(history.violations(Promise.ONE_ANSWER), 1);
    }

    @Test
    public void spendOverTheLimitIsFound() {
        assertEquals(twoAcceleratorsForAnHour(2 * 3_600_000).violations(Promise.SPEND_WITHIN_LIMIT), 0);
        assertEquals(twoAcceleratorsForAnHour(2 * 3_600_000 - 1).violations(Promise.SPEND_WITHIN_LIMIT), 1);
    }

    /**
     * Another workspace's gangs use two of a worker's three accelerators while a guaranteed gang of two waits beyond
     * its bound.
     */
    private static HistoryBuilder lateStartBehindOtherWorkspace(int... gangs) {
        HistoryBuilder history = new HistoryBuilder().policyInForce(NO_LIMIT).worker("w1", 3);
        for (int index = 0; index < gangs.length; index++) {
            String job = "other-" + index;
            history.submit(0, HistoryBuilder.jobOf("others", job, gangs[index], true));
            for (int part = 0; part < gangs[index]; part++) {
                history.partStarts(1, job, 1, part, "w1");
            }
        }
        history.submit(1_000, HistoryBuilder.job("j", 2, true));
        return history.partStarts(1_001 + HistoryBuilder.BOUND_MS, "j", 1, 0, "w1");
    }

    private static HistoryBuilder twoWorkers() {
        return new HistoryBuilder().policyInForce(NO_LIMIT).worker("w1", 2).worker("w2", 2);
    }

    private static HistoryBuilder runningGang() {
        return twoWorkers()
                .submit(0, HistoryBuilder.job("j", 2, true))
                .startDecided(0, "j", 1, "w1", "w1")
                .partStarts(100, "j", 1, 0, "w1")
                .partStarts(100, "j", 1, 1, "w1");
    }

    private static HistoryBuilder completedGang() {
        return runningGang()
                .partEnds(19_000, "j", 1, 0, PartEnd.COMPLETED)
                .partEnds(19_000, "j", 1, 1, PartEnd.COMPLETED);
    }

    private static HistoryBuilder secondRunAfter(PartEnd end, boolean idempotent) {
        return twoWorkers()
                .submit(0, HistoryBuilder.job("j", 1, idempotent))
                .partStarts(10, "j", 1, 0, "w1")
                .partEnds(20, "j", 1, 0, end)
                .partStarts(30, "j", 2, 0, "w1");
    }

    private static HistoryBuilder twoAcceleratorsForAnHour(long limitMicros) {
        return new HistoryBuilder()
                .policyInForce(limitMicros)
                .worker("w1", 2)
                .submit(0, HistoryBuilder.job("j", 2, true))
                .startDecided(0, "j", 1, "w1", "w1")
                .partStarts(0, "j", 1, 0, "w1")
                .partStarts(0, "j", 1, 1, "w1")
                .partEnds(3_600_000, "j", 1, 0, PartEnd.COMPLETED)
                .partEnds(3_600_000, "j", 1, 1, PartEnd.COMPLETED);
    }
}
