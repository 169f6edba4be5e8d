package org.fuchsiawinch.core;

import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.Cell.PART;
import static org.fuchsiawinch.core.Cell.job;
import static org.fuchsiawinch.core.Cell.shape;
import static org.fuchsiawinch.core.Cell.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EstimatesTest {

    private static final long MINUTE_MS = 60_000;

    private static Cell cell(SchedulerFeature off) {
        return Cell.with(off).policy(Map.of("a", workspace())).workers(1, 8);
    }

    private static JobSpec minute(String id) {
        return job(id, "a", shape(1, Adjacency.WORKER), MINUTE_MS);
    }

    /** Completes jobs that use a multiple of their declared minute and memory, then submits the job {@code next}. */
    private static Cell seen(SchedulerFeature off, int jobs, int times) {
        Cell cell = cell(off);
        for (int i = 0; i < jobs; i++) {
            String id = "seen" + i;
            cell.submit(minute(id));
            report(cell, id, PART.memoryMb() * times);
            cell.at(cell.nowMs + times * MINUTE_MS).complete(id);
        }
        return cell.submit(minute("next"));
    }

    private static Cell report(Cell cell, String job, int memoryMb) {
        Resources used = new Resources(0, memoryMb, 0, 0, 0);
        return cell.send(
                new SchedulerEvent.UsageReported(new TaskId(cell.attemptOf(job).orElseThrow(), 0), used));
    }

    @Test
    public void runTimesAreCorrectedWithinBounds() {
        assertEquals(seen(null, 2, 2).start("next").reason().correctionFactor(), 1.0, "too few samples");
        Reason corrected = seen(null, 3, 2).start("next").reason();
        assertEquals(corrected.correctionFactor(), 2.0);
        assertEquals(corrected.estimatedRunMs(), 2 * MINUTE_MS);
        assertEquals(
                seen(SchedulerFeature.CORRECTION, 3, 2).start("next").reason().correctionFactor(), 1.0);
        assertEquals(seen(null, 3, 20).start("next").reason().correctionFactor(), 10.0, "bounded");
    }

    @Test
    public void correctedMemoryCountsInPlacement() {
        assertEquals(startsOnEight(null), 4);
        assertEquals(startsOnEight(SchedulerFeature.CORRECTION), 8);
    }

    private static long startsOnEight(SchedulerFeature off) {
        Cell cell = seen(off, 3, 2);
        for (int i = 0; i < 8; i++) {
            cell.submit(minute("j" + i));
        }
        return cell.running.size();
    }

    @Test
    public void timeOverrunEndsTheJob() {
        Cell cell = cell(null).submit(minute("j")).tick(3 * MINUTE_MS - 1);
        assertTrue(cell.stops().isEmpty());
        cell.tick(3 * MINUTE_MS).stopped("j", false);
        assertEquals(cell.end().orElseThrow().reason().code(), ReasonCode.STOP_TIME_OVERRUN);

        assertTrue(cell(SchedulerFeature.OVERRUNS)
                .submit(minute("j"))
                .tick(3 * MINUTE_MS)
                .stops()
                .isEmpty());
    }

    @Test
    public void memoryOverrunRestartsWithALargerGrant() {
        Cell cell = cell(null).submit(job("j", "a", shape(1, Adjacency.WORKER), MINUTE_MS, true, true));
        report(cell, "j", 3000);
        assertEquals(cell.decisions(Decision.StopGang.class).get(0).mode(), StopMode.CHECKPOINT);
        cell.stopped("j", true);
        assertTrue(cell.runs("j"));
        for (int i = 0; i < 8; i++) {
            cell.submit(minute("other" + i));
        }
        assertEquals(cell.running.size(), 1 + 5, "3000 of 8192 MiB are granted to the job");
    }

    @Test
    public void memoryWithinTheToleranceIsBooked() {
        Cell cell = cell(null).submit(minute("j"));
        report(cell, "j", 2000);
        assertTrue(cell.stops().isEmpty());
        for (int i = 0; i < 8; i++) {
            cell.submit(minute("other" + i));
        }
        assertEquals(cell.running.size(), 1 + 6);
    }

    @Test
    public void whatNoWorkerCouldHoldIsRefusedAtSubmit() {
        Cell cell = cell(null).submit(job("j", "a", 9));
        Decision.EndJob end = cell.end().orElseThrow();
        assertEquals(end.reason().code(), ReasonCode.END_IMPOSSIBLE_SHAPE);
        assertFalse(end.ran());
        assertTrue(cell(SchedulerFeature.IMPOSSIBLE_CHECK)
                .submit(job("j", "a", 9))
                .end()
                .isEmpty());
        assertTrue(cell.lose("w0").submit(job("k", "a", 8)).end().isEmpty(), "the worker may come back");
    }
}
