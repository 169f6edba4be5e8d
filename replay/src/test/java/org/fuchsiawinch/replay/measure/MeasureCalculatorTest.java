package org.fuchsiawinch.replay.measure;

import java.util.List;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.replay.check.CheckReport;
import org.fuchsiawinch.replay.check.HistoryBuilder;
import org.fuchsiawinch.replay.check.PromiseChecker;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.history.PartEnd;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;
import org.fuchsiawinch.replay.trace.TraceJob;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Checks which times and accelerators count in the measures. A policy must not gain by ending jobs, and lost workers
 * must not count as free capacity.
 */
public class MeasureCalculatorTest {

    private static final long END_MS = 100_000;
    private static final long HORIZON_MS = 1_000_000;

    @Test
    public void completionIsFromSubmitToResult() {
        HistoryBuilder history = run(PartEnd.COMPLETED).resultDelivered(30_000, "j");
        Measures measures = measure(history, "j");
        assertEquals(measures.completionMs().meanMs(), 30_000.0);
        assertEquals(measures.slowdownMean(), 3.0);
        assertEquals(measures.jobs().completed(), 1);
        assertEquals(measures.lostWorkAcceleratorMs(), 0);
    }

    @Test
    public void jobEndedByThePolicyCountsUpToTheHorizon() {
        HistoryBuilder history =
                run(PartEnd.STOPPED).endReported(30_000, "j", true, ReasonCode.END_BROKEN_NOT_REPEATABLE);
        Measures measures = measure(history, "j");
        assertEquals(measures.completionMs().maxMs(), HORIZON_MS);
        assertEquals(measures.lostWorkAcceleratorMs(), 2 * 20_000);
    }

    @Test
    public void jobBrokenByAWorkerCountsUntilItsCallerWasNotified() {
        HistoryBuilder history = run(PartEnd.LOST).endReported(30_000, "j", true, ReasonCode.END_BROKEN_NOT_REPEATABLE);
        assertEquals(measure(history, "j").completionMs().maxMs(), 30_000);
    }

    @Test
    public void fragmentationIsTheShareThatTheLargestGuaranteedShapeCannotUse() {
        HistoryBuilder history = new HistoryBuilder()
                .policyInForce(Long.MAX_VALUE)
                .worker("w1", 3)
                .submit(0, HistoryBuilder.job("j", 1, true))
                .startDecided(50_000, "j", 1, "w1");
        Measures measures = measure(history, "j");
        assertEquals(measures.fragmentation(), (1.0 / 3 + 0.0) / 2, 1e-9);
        assertEquals(measures.strandedAccelerators(), 0.5, 1e-9);
        assertEquals(measures.strandedShare(), 0.2, 1e-9);
    }

    @Test
    public void lostWorkersAreNotFree() {
        HistoryBuilder history =
                new HistoryBuilder().policyInForce(Long.MAX_VALUE).worker("w1", 3);
        history.add(new HistoryEvent.WorkerDown(0, new WorkerId("w1")));
        assertEquals(measure(history, "j").fragmentation(), 0.0);
    }

    private static HistoryBuilder run(PartEnd end) {
        return new HistoryBuilder()
                .policyInForce(Long.MAX_VALUE)
                .worker("w1", 2)
                .submit(0, HistoryBuilder.job("j", 2, false))
                .startDecided(0, "j", 1, "w1", "w1")
                .partStarts(0, "j", 1, 0, "w1")
                .partStarts(0, "j", 1, 1, "w1")
                .partEnds(20_000, "j", 1, 0, end)
                .partEnds(20_000, "j", 1, 1, end);
    }

    private static Measures measure(HistoryBuilder history, String job) {
        TraceJob submitted = new TraceJob(HistoryBuilder.job(job, 2, true), 10_000, 1_024, 5_000, false);
        Trace trace = new Trace(
                "t",
                HORIZON_MS,
                List.of(
                        new TraceEvent.WorkerJoins(0, HistoryBuilder.workerSpec("w1", 3)),
                        new TraceEvent.Submit(0, submitted),
                        new TraceEvent.UsageLag(END_MS, 0)));
        CheckReport report = new PromiseChecker().check(history.events());
        return new MeasureCalculator().measure("p", 1, trace, history.events(), report);
    }
}
