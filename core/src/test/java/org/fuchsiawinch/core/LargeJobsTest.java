package org.fuchsiawinch.core;

import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.HOUR_MS;
import static org.fuchsiawinch.core.SchedulerFixture.job;
import static org.fuchsiawinch.core.SchedulerFixture.shape;
import static org.fuchsiawinch.core.SchedulerFixture.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against starvation of large jobs by streams of small ones. Covers reservation, backfill and defragmentation.
 */
public class LargeJobsTest {

    private static final long MINUTE_MS = 60_000;

    private static SchedulerFixture fixture(SchedulerFeature off) {
        return SchedulerFixture.disabling(off).policy(Map.of("a", workspace())).workers(1, 8);
    }

    @Test
    public void largeJobStartsDespiteAStreamOfSmallJobs() {
        assertTrue(startsUnderStream(null));
        assertFalse(startsUnderStream(SchedulerFeature.RESERVATION));
    }

    /** Submits a small job every minute as one of eight running ones ends, while a large job waits. */
    private static boolean startsUnderStream(SchedulerFeature off) {
        SchedulerFixture fixture = fixture(off);
        int submitted = 0;
        while (submitted < 8) {
            fixture.submit(smallJob(submitted++));
        }
        fixture.submit(job("large", "a", shape(8, Adjacency.WORKER), HOUR_MS));
        for (int ended = 0; ended < 40 && !fixture.runs("large"); ended++) {
            fixture.at((ended + 1) * MINUTE_MS).submit(smallJob(submitted++));
            if (fixture.runs("s" + ended)) {
                fixture.complete("s" + ended);
            }
        }
        return fixture.runs("large");
    }

    private static org.fuchsiawinch.model.JobSpec smallJob(int i) {
        return job("s" + i, "a", shape(1, Adjacency.WORKER), 10 * MINUTE_MS);
    }

    @Test
    public void shortJobsAreBackfilled() {
        SchedulerFixture fixture = withReservation(null);
        fixture.submit(job("short", "a", shape(4, Adjacency.WORKER), 30 * MINUTE_MS));
        assertEquals(fixture.start("short").reason().code(), ReasonCode.START_BACKFILL);
        fixture.submit(job("long", "a", shape(4, Adjacency.WORKER), 2 * HOUR_MS));
        assertFalse(fixture.runs("long"));

        SchedulerFixture without = withReservation(SchedulerFeature.BACKFILL);
        without.submit(job("short", "a", shape(4, Adjacency.WORKER), 30 * MINUTE_MS));
        assertEquals(without.waitCode("short").orElseThrow(), ReasonCode.WAIT_RESERVATION);
    }

    private static SchedulerFixture withReservation(SchedulerFeature off) {
        return fixture(off)
                .submit(job("first", "a", shape(4, Adjacency.WORKER), HOUR_MS))
                .submit(job("large", "a", shape(8, Adjacency.WORKER), MINUTE_MS));
    }

    @Test
    public void longJobsMayNotDelayAReservedOne() {
        SchedulerFixture fixture =
                withReservation(null).submit(job("long", "a", shape(4, Adjacency.WORKER), 2 * HOUR_MS));
        assertEquals(fixture.waitCode("long").orElseThrow(), ReasonCode.WAIT_RESERVATION);
    }

    @Test
    public void reservedStartIsNotPostponed() {
        SchedulerFixture fixture = withReservation(null);
        long reservedStartMs = startMs(fixture);
        for (int i = 1; i <= 20; i++) {
            fixture.submit(job("j" + i, "a", shape(1, Adjacency.WORKER), i * 10 * MINUTE_MS))
                    .tick(i * MINUTE_MS);
            assertTrue(startMs(fixture) <= reservedStartMs);
        }
        fixture.at(reservedStartMs).complete("first").tick(reservedStartMs);
        fixture.running.keySet().stream()
                .filter(id -> id.job().value().startsWith("j"))
                .toList()
                .forEach(id -> fixture.complete(id.job().value()));
        assertTrue(fixture.runs("large"));
    }

    private static long startMs(SchedulerFixture fixture) {
        Reason reason = fixture.scheduler
                .waitReason(job("large", "a", 8).id(), fixture.nowMs)
                .orElseThrow();
        return fixture.nowMs + reason.alternative().orElseThrow().delayMs();
    }

    @Test
    public void checkpointableWorkIsMovedForALargeShape() {
        SchedulerFixture fixture = withScatteredWork(null);
        assertEquals(fixture.stoppedJobs().size(), 1);
        String moved = fixture.stoppedJobs().get(0);
        fixture.stopped(moved, true);
        assertTrue(fixture.runs("large"));
        assertTrue(fixture.runs(moved));

        assertEquals(withScatteredWork(SchedulerFeature.DEFRAGMENTATION).stoppedJobs(), List.of());
    }

    /** Leaves half of each of two workers in use by checkpointable work, then submits a job that needs a whole one. */
    private static SchedulerFixture withScatteredWork(SchedulerFeature off) {
        SchedulerFixture fixture =
                SchedulerFixture.disabling(off).policy(Map.of("a", workspace())).workers(2, 8);
        for (int i = 0; i < 4; i++) {
            fixture.submit(job("c" + i, "a", shape(4, Adjacency.WORKER), 10 * HOUR_MS, true, true));
        }
        fixture.at(2 * MINUTE_MS);
        String first = fixture.workersOf("c0").get(0);
        fixture.complete("c0");
        String other = fixture.running.keySet().stream()
                .map(id -> id.job().value())
                .filter(id -> !fixture.workersOf(id).get(0).equals(first))
                .findFirst()
                .orElseThrow();
        return fixture.complete(other).submit(job("large", "a", shape(8, Adjacency.WORKER), HOUR_MS));
    }

    @Test
    public void reservationPassesToTheNextLargeJobWhenItsJobIsCancelled() {
        SchedulerFixture fixture = fixture(null)
                .submit(job("x", "a", shape(4, Adjacency.WORKER), HOUR_MS))
                .submit(job("y", "a", shape(4, Adjacency.WORKER), 2 * HOUR_MS))
                .submit(job("owner", "a", shape(8, Adjacency.WORKER), HOUR_MS))
                .submit(job("next", "a", shape(7, Adjacency.WORKER), HOUR_MS))
                .send(new SchedulerEvent.JobCancelled(new JobId("owner")))
                .tick(MINUTE_MS);
        fixture.at(HOUR_MS).complete("x");
        fixture.submit(job("long", "a", shape(2, Adjacency.WORKER), 9 * HOUR_MS));
        assertFalse(fixture.runs("long"), "would delay the large job by eight hours");
        fixture.at(2 * HOUR_MS).complete("y");
        assertTrue(fixture.runs("next"));
    }
}
