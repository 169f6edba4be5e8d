package org.fuchsiawinch.core;

import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.Cell.HOUR_MS;
import static org.fuchsiawinch.core.Cell.job;
import static org.fuchsiawinch.core.Cell.shape;
import static org.fuchsiawinch.core.Cell.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class LargeJobsTest {

    private static final long MINUTE_MS = 60_000;

    private static Cell cell(SchedulerFeature off) {
        return Cell.with(off).policy(Map.of("a", workspace())).workers(1, 8);
    }

    @Test
    public void largeJobStartsInTheMiddleOfAStreamOfSmallOnes() {
        assertTrue(startsUnderStream(null));
        assertFalse(startsUnderStream(SchedulerFeature.RESERVATION));
    }

    /** Submits a small job every minute as one of eight running ones ends, while a large job waits. */
    private static boolean startsUnderStream(SchedulerFeature off) {
        Cell cell = cell(off);
        int submitted = 0;
        while (submitted < 8) {
            cell.submit(small(submitted++));
        }
        cell.submit(job("large", "a", shape(8, Adjacency.WORKER), HOUR_MS));
        for (int ended = 0; ended < 40 && !cell.runs("large"); ended++) {
            cell.at((ended + 1) * MINUTE_MS).submit(small(submitted++));
            if (cell.runs("s" + ended)) {
                cell.complete("s" + ended);
            }
        }
        return cell.runs("large");
    }

    private static org.fuchsiawinch.model.JobSpec small(int i) {
        return job("s" + i, "a", shape(1, Adjacency.WORKER), 10 * MINUTE_MS);
    }

    @Test
    public void shortJobsAreBackfilled() {
        Cell cell = reserved(null);
        cell.submit(job("short", "a", shape(4, Adjacency.WORKER), 30 * MINUTE_MS));
        assertEquals(cell.start("short").reason().code(), ReasonCode.START_BACKFILL);
        cell.submit(job("long", "a", shape(4, Adjacency.WORKER), 2 * HOUR_MS));
        assertFalse(cell.runs("long"));

        Cell without = reserved(SchedulerFeature.BACKFILL);
        without.submit(job("short", "a", shape(4, Adjacency.WORKER), 30 * MINUTE_MS));
        assertEquals(without.waits("short").orElseThrow(), ReasonCode.WAIT_RESERVATION);
    }

    private static Cell reserved(SchedulerFeature off) {
        return cell(off)
                .submit(job("first", "a", shape(4, Adjacency.WORKER), HOUR_MS))
                .submit(job("large", "a", shape(8, Adjacency.WORKER), MINUTE_MS));
    }

    @Test
    public void longJobsMayNotDelayAReservedOne() {
        Cell cell = reserved(null).submit(job("long", "a", shape(4, Adjacency.WORKER), 2 * HOUR_MS));
        assertEquals(cell.waits("long").orElseThrow(), ReasonCode.WAIT_RESERVATION);
    }

    @Test
    public void reservedStartDoesNotRecede() {
        Cell cell = reserved(null);
        long promisedMs = startMs(cell);
        for (int i = 1; i <= 20; i++) {
            cell.submit(job("j" + i, "a", shape(1, Adjacency.WORKER), i * 10 * MINUTE_MS))
                    .tick(i * MINUTE_MS);
            assertTrue(startMs(cell) <= promisedMs);
        }
        cell.at(promisedMs).complete("first").tick(promisedMs);
        cell.running.keySet().stream()
                .filter(id -> id.job().value().startsWith("j"))
                .toList()
                .forEach(id -> cell.complete(id.job().value()));
        assertTrue(cell.runs("large"));
    }

    private static long startMs(Cell cell) {
        Reason reason =
                cell.scheduler.waitReason(job("large", "a", 8).id(), cell.nowMs).orElseThrow();
        return cell.nowMs + reason.alternative().orElseThrow().delayMs();
    }

    @Test
    public void checkpointableWorkIsMovedForALargeShape() {
        Cell cell = scattered(null);
        assertEquals(cell.stops().size(), 1);
        String moved = cell.stops().get(0);
        cell.stopped(moved, true);
        assertTrue(cell.runs("large"));
        assertTrue(cell.runs(moved));

        assertEquals(scattered(SchedulerFeature.DEFRAGMENTATION).stops(), List.of());
    }

    /** Leaves half of each of two workers in use by checkpointable work, then submits a job that needs a whole one. */
    private static Cell scattered(SchedulerFeature off) {
        Cell cell = Cell.with(off).policy(Map.of("a", workspace())).workers(2, 8);
        for (int i = 0; i < 4; i++) {
            cell.submit(job("c" + i, "a", shape(4, Adjacency.WORKER), 10 * HOUR_MS, true, true));
        }
        cell.at(2 * MINUTE_MS);
        String first = cell.workersOf("c0").get(0);
        cell.complete("c0");
        String other = cell.running.keySet().stream()
                .map(id -> id.job().value())
                .filter(id -> !cell.workersOf(id).get(0).equals(first))
                .findFirst()
                .orElseThrow();
        return cell.complete(other).submit(job("large", "a", shape(8, Adjacency.WORKER), HOUR_MS));
    }

    @Test
    public void reservationPassesToTheNextLargeJobWhenItsOwnerLeaves() {
        Cell cell = cell(null)
                .submit(job("x", "a", shape(4, Adjacency.WORKER), HOUR_MS))
                .submit(job("y", "a", shape(4, Adjacency.WORKER), 2 * HOUR_MS))
                .submit(job("owner", "a", shape(8, Adjacency.WORKER), HOUR_MS))
                .submit(job("next", "a", shape(7, Adjacency.WORKER), HOUR_MS))
                .send(new SchedulerEvent.JobCancelled(new JobId("owner")))
                .tick(MINUTE_MS);
        cell.at(HOUR_MS).complete("x");
        cell.submit(job("long", "a", shape(2, Adjacency.WORKER), 9 * HOUR_MS));
        assertFalse(cell.runs("long"), "would delay the large job by eight hours");
        cell.at(2 * HOUR_MS).complete("y");
        assertTrue(cell.runs("next"));
    }
}
