package org.fuchsiawinch.replay.measure;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.replay.check.HistoryBuilder;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;
import org.fuchsiawinch.replay.trace.TraceJob;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against lower bounds that a real schedule could beat, which would mark reachable targets as out of reach. */
public class LowerBoundsTest {

    @Test
    public void jobsThatFitOneAtATimeWaitForEachOther() {
        LowerBounds bounds = LowerBounds.of(trace(2, submit(0, "a", 2), submit(1_000, "b", 2), submit(2_000, "c", 2)));
        assertEquals(bounds.largestJobWaitMs(), 18_000.0);
        assertEquals(bounds.completionMeanMs(), 10_000.0);
    }

    @Test
    public void jobsThatFitTogetherHaveNoWaitBound() {
        LowerBounds bounds = LowerBounds.of(trace(4, submit(0, "a", 2), submit(1_000, "b", 2)));
        assertEquals(bounds.largestJobWaitMs(), 0.0);
    }

    private static Trace trace(int accelerators, TraceEvent... submits) {
        TraceEvent worker = new TraceEvent.WorkerJoins(0, HistoryBuilder.workerSpec("w1", accelerators));
        List<TraceEvent> events = new ArrayList<>(List.of(worker));
        events.addAll(List.of(submits));
        return new Trace("t", 1_000_000, events);
    }

    private static TraceEvent submit(long atMs, String id, int parts) {
        return new TraceEvent.Submit(
                atMs, new TraceJob(HistoryBuilder.job(id, parts, true), 10_000, 1_024, 5_000, false));
    }
}
