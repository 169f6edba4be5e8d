package org.fuchsiawinch.core;

import java.util.Map;

import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.HOUR_MS;
import static org.fuchsiawinch.core.SchedulerFixture.guarantee;
import static org.fuchsiawinch.core.SchedulerFixture.job;
import static org.fuchsiawinch.core.SchedulerFixture.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against decisions and waits that lack their price, estimate or alternative. */
public class ReasonsTest {

    private static SchedulerFixture fixture(SchedulerFeature off) {
        return SchedulerFixture.disabling(off)
                .policy(Map.of("a", workspace(guarantee(8, 1)), "b", workspace()))
                .workers(1, 8);
    }

    @Test
    public void startCarriesPriceEstimateAndAlternative() {
        Reason reason = fixture(null).submit(job("j", "a", 8)).start("j").reason();
        assertEquals(reason.code(), ReasonCode.START_GUARANTEED);
        assertEquals(reason.priceMicros(), 8 * 3 * 1_000_000);
        assertEquals(reason.estimatedRunMs(), HOUR_MS);
        Reason.Alternative alternative = reason.alternative().orElseThrow();
        assertEquals(alternative.code(), ReasonCode.START_LENT);
        assertEquals(alternative.priceMicros(), 8 * 3 * 500_000);

        Reason bare = fixture(SchedulerFeature.REASONS)
                .submit(job("j", "a", 8))
                .start("j")
                .reason();
        assertTrue(bare.alternative().isEmpty());
        assertEquals(bare.priceMicros(), 0);
    }

    @Test
    public void waitCarriesPriceAndExpectedStart() {
        SchedulerFixture fixture = fixture(null).submit(job("b0", "b", 8)).submit(job("b1", "b", 8));
        Reason reason = fixture.scheduler
                .waitReason(job("b1", "b", 8).id(), HOUR_MS / 4)
                .orElseThrow();
        assertEquals(reason.code(), ReasonCode.WAIT_CAPACITY);
        assertEquals(reason.priceMicros(), 8 * 3 * 1_000_000);
        assertEquals(reason.alternative().orElseThrow().delayMs(), 3 * HOUR_MS / 4);
        assertTrue(
                fixture.scheduler.waitReason(job("b0", "b", 8).id(), 0).isEmpty(), "a running job has no wait reason");
    }
}
