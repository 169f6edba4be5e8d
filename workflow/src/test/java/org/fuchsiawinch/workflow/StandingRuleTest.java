package org.fuchsiawinch.workflow;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against accepted jobs that stand still beside idle workers because a preference is kept without a bound. */
public class StandingRuleTest {

    /** Seeds with gangs that waited for one rack, for the headroom, or behind a claim or a reservation of others. */
    @DataProvider
    public Object[][] seedsThatFailed() {
        return new Object[][] {
            {6L}, {10L}, {12L}, {30L}, {42L}, {57L}, {71L}, {84L}, {85L}, {128L}, {136L}, {144L}, {157L}, {190L},
        };
    }

    @Test(dataProvider = "seedsThatFailed")
    public void noJobStandsBesideIdleWorkers(long seed) {
        assertEquals(new StandingDay(seed).simulate().violations(), List.of());
    }
}
