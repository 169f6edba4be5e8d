package org.fuchsiawinch.core;

import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.PART;
import static org.fuchsiawinch.core.SchedulerFixture.job;
import static org.fuchsiawinch.core.SchedulerFixture.shape;
import static org.fuchsiawinch.core.SchedulerFixture.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against plans based on wrong declarations: callers declare run time and memory too low, and the attempts then
 * overrun them. Covers the corrections, their bounds and the handling of overruns.
 */
public class EstimatesTest {

    private static final long MINUTE_MS = 60_000;

    private static SchedulerFixture fixture(SchedulerFeature off) {
        return SchedulerFixture.disabling(off).policy(Map.of("a", workspace())).workers(1, 8);
    }

    private static JobSpec minuteJob(String id) {
        return job(id, "a", shape(1, Adjacency.WORKER), MINUTE_MS);
    }

    /** Completes jobs that use a multiple of their declared minute and memory, then submits the job {@code next}. */
    private static SchedulerFixture afterObserving(SchedulerFeature off, int jobs, int times) {
        SchedulerFixture fixture = fixture(off);
        for (int i = 0; i < jobs; i++) {
            String id = "seen" + i;
            fixture.submit(minuteJob(id));
            reportMemory(fixture, id, PART.memoryMb() * times);
            fixture.at(fixture.nowMs + times * MINUTE_MS).complete(id);
        }
        return fixture.submit(minuteJob("next"));
    }

    private static SchedulerFixture reportMemory(SchedulerFixture fixture, String job, int memoryMb) {
        Resources used = new Resources(0, memoryMb, 0, 0, 0);
        return fixture.send(new SchedulerEvent.UsageReported(
                new TaskId(fixture.attemptOf(job).orElseThrow(), 0), used));
    }

    @Test
    public void runTimesAreCorrectedWithinBounds() {
        assertEquals(afterObserving(null, 2, 2).start("next").reason().correctionFactor(), 1.0, "too few samples");
        Reason corrected = afterObserving(null, 3, 2).start("next").reason();
        assertEquals(corrected.correctionFactor(), 2.0);
        assertEquals(corrected.estimatedRunMs(), 2 * MINUTE_MS);
        assertEquals(
                afterObserving(SchedulerFeature.CORRECTION, 3, 2)
                        .start("next")
                        .reason()
                        .correctionFactor(),
                1.0);
        assertEquals(
                afterObserving(null, 3, 20).start("next").reason().correctionFactor(),
                10.0,
                "bounded by the maximum factor");
    }

    @Test
    public void correctedMemoryCountsInPlacement() {
        assertEquals(startsOnEightAccelerators(null), 4);
        assertEquals(startsOnEightAccelerators(SchedulerFeature.CORRECTION), 8);
    }

    private static long startsOnEightAccelerators(SchedulerFeature off) {
        SchedulerFixture fixture = afterObserving(off, 3, 2);
        for (int i = 0; i < 8; i++) {
            fixture.submit(minuteJob("j" + i));
        }
        return fixture.running.size();
    }

    @Test
    public void timeOverrunEndsTheJob() {
        SchedulerFixture fixture = fixture(null).submit(minuteJob("j")).tick(3 * MINUTE_MS - 1);
        assertTrue(fixture.stoppedJobs().isEmpty());
        fixture.tick(3 * MINUTE_MS).stopped("j", false);
        assertEquals(fixture.end().orElseThrow().reason().code(), ReasonCode.STOP_TIME_OVERRUN);

        assertTrue(fixture(SchedulerFeature.OVERRUNS)
                .submit(minuteJob("j"))
                .tick(3 * MINUTE_MS)
                .stoppedJobs()
                .isEmpty());
    }

    @Test
    public void memoryOverrunRestartsWithALargerGrant() {
        SchedulerFixture fixture =
                fixture(null).submit(job("j", "a", shape(1, Adjacency.WORKER), MINUTE_MS, true, true));
        reportMemory(fixture, "j", 3000);
        assertEquals(fixture.decisions(Decision.StopGang.class).get(0).mode(), StopMode.CHECKPOINT);
        fixture.stopped("j", true);
        assertTrue(fixture.runs("j"));
        for (int i = 0; i < 8; i++) {
            fixture.submit(minuteJob("other" + i));
        }
        assertEquals(fixture.running.size(), 1 + 5, "3000 of 8192 MiB are granted to the job");
    }

    @Test
    public void memoryWithinToleranceCountsAsUsed() {
        SchedulerFixture fixture = fixture(null).submit(minuteJob("j"));
        reportMemory(fixture, "j", 2000);
        assertTrue(fixture.stoppedJobs().isEmpty());
        for (int i = 0; i < 8; i++) {
            fixture.submit(minuteJob("other" + i));
        }
        assertEquals(fixture.running.size(), 1 + 6);
    }

    @Test
    public void impossibleShapeIsRefusedAtSubmission() {
        SchedulerFixture fixture = fixture(null).submit(job("j", "a", 9));
        Decision.EndJob end = fixture.end().orElseThrow();
        assertEquals(end.reason().code(), ReasonCode.END_IMPOSSIBLE_SHAPE);
        assertFalse(end.ran());
        assertTrue(fixture(SchedulerFeature.IMPOSSIBLE_CHECK)
                .submit(job("j", "a", 9))
                .end()
                .isEmpty());
        assertTrue(fixture.loseWorker("w0").submit(job("k", "a", 8)).end().isEmpty(), "the lost worker may return");
    }
}
