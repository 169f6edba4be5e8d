package org.fuchsiawinch.core;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.Cell.HOUR_MS;
import static org.fuchsiawinch.core.Cell.job;
import static org.fuchsiawinch.core.Cell.shape;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards the spending limit against runs that exceed their worst case when the policy sets no time overrun factor. */
public class SpendOverrunTest {

    private static final long DAY_MS = 24 * HOUR_MS;
    private static final double MAX_FACTOR = 2;

    @Test
    public void runGoesOnWhileTheLimitHasRoom() {
        Cell cell = started(20_000_000).tick(2 * HOUR_MS + 1);
        assertFalse(stops(cell));
        assertFalse(stops(cell.tick(3 * HOUR_MS - 1)));
    }

    @Test
    public void runIsStoppedBeforeItPassesTheLimit() {
        Cell cell = started(2_200_000).tick(2 * HOUR_MS + 1);
        assertTrue(stops(cell));
    }

    @Test
    public void extensionsAreBooked() {
        Cell cell = started(3_200_000).tick(2 * HOUR_MS + 1);
        assertFalse(stops(cell));
        assertFalse(startsMore(cell), "what the longer run may cost is not free for others");
    }

    private static boolean startsMore(Cell cell) {
        return cell.submit(job("more", "a", shape(1, Adjacency.WORKER), HOUR_MS))
                .runs("more");
    }

    /** Starts a job with one accelerator and a declared hour, at one unit per hour; its worst case is two hours. */
    private static Cell started(long limitMicros) {
        WorkspacePolicy rules = new WorkspacePolicy(List.of(), 100, 10, OptionalLong.of(limitMicros), DAY_MS);
        Policy base = Cell.policyOf(Map.of("a", rules), 0.5);
        Policy unbounded = new Policy(
                base.version(),
                base.objective(),
                base.workspaces(),
                base.lending(),
                new EstimatePolicy(0.9, 3, 0.1, MAX_FACTOR, 0, 2),
                base.faults(),
                base.admission(),
                base.prices());
        Cell cell = Cell.with(null);
        cell.send(new SchedulerEvent.PolicyChanged(unbounded)).workers(1, 8);
        cell.submit(job("j", "a", shape(1, Adjacency.WORKER), HOUR_MS, false, false));
        assertTrue(cell.runs("j"));
        return cell;
    }

    private static boolean stops(Cell cell) {
        return cell.last.stream().anyMatch(Decision.StopGang.class::isInstance);
    }
}
