package org.fuchsiawinch.core;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.HOUR_MS;
import static org.fuchsiawinch.core.SchedulerFixture.job;
import static org.fuchsiawinch.core.SchedulerFixture.shape;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards the spending limit against runs that exceed their worst case when the policy sets no time overrun factor. */
public class SpendOverrunTest {

    private static final long DAY_MS = 24 * HOUR_MS;
    private static final double MAX_FACTOR = 2;

    @Test
    public void runIsExtendedWhileTheLimitAllows() {
        SchedulerFixture fixture = started(20_000_000).tick(2 * HOUR_MS + 1);
        assertFalse(stops(fixture));
        assertFalse(stops(fixture.tick(3 * HOUR_MS - 1)));
    }

    @Test
    public void runIsStoppedBeforeItExceedsTheLimit() {
        SchedulerFixture fixture = started(2_200_000).tick(2 * HOUR_MS + 1);
        assertTrue(stops(fixture));
    }

    @Test
    public void extensionsCountAsCommittedSpending() {
        SchedulerFixture fixture = started(3_200_000).tick(2 * HOUR_MS + 1);
        assertFalse(stops(fixture));
        assertFalse(startsAnother(fixture), "the cost of the extension is reserved");
    }

    private static boolean startsAnother(SchedulerFixture fixture) {
        return fixture.submit(job("more", "a", shape(1, Adjacency.WORKER), HOUR_MS))
                .runs("more");
    }

    /** Starts a job with one accelerator and a declared hour, at one unit per hour; its worst case is two hours. */
    private static SchedulerFixture started(long limitMicros) {
        WorkspacePolicy rules = new WorkspacePolicy(List.of(), 100, 10, OptionalLong.of(limitMicros), DAY_MS);
        Policy base = SchedulerFixture.policyOf(Map.of("a", rules), 0.5);
        Policy unbounded = new Policy(
                base.version(),
                base.objective(),
                base.workspaces(),
                base.lending(),
                new EstimatePolicy(0.9, 3, 0.1, MAX_FACTOR, 0, 2),
                base.faults(),
                base.admission(),
                base.prices());
        SchedulerFixture fixture = SchedulerFixture.disabling(null);
        fixture.send(new SchedulerEvent.PolicyChanged(unbounded)).workers(1, 8);
        fixture.submit(job("j", "a", shape(1, Adjacency.WORKER), HOUR_MS, false, false));
        assertTrue(fixture.runs("j"));
        return fixture;
    }

    private static boolean stops(SchedulerFixture fixture) {
        return fixture.last.stream().anyMatch(Decision.StopGang.class::isInstance);
    }
}
