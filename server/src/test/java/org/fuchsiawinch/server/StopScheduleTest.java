package org.fuchsiawinch.server;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that a stopping node serves callers as long as it can. */
public class StopScheduleTest {

    private static final long START_MS = 10_000;
    private static final long GRACE_MS = 6000;

    private final StopSchedule schedule = new StopSchedule(START_MS, GRACE_MS);

    @Test
    public void waitsForTheBalancerWithoutConnections() {
        assertFalse(schedule.mayClose(START_MS + 2000, 0));
        assertTrue(schedule.mayClose(START_MS + 3000, 0));
    }

    @Test
    public void servesOpenConnectionsUntilTheGracePeriodNearsItsEnd() {
        assertFalse(schedule.mayClose(START_MS + 4000, 1));
        assertTrue(schedule.mayClose(START_MS + 5000, 1));
    }

    @Test
    public void endsBeforeAShortGracePeriod() {
        assertTrue(new StopSchedule(START_MS, 1500).mayClose(START_MS + 1000, 1));
    }
}
