package org.fuchsiawinch.workflow;

import java.util.stream.LongStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against scheduling changes that lower the utility of a whole simulated day with a burst of urgent jobs. The
 * bounds are the upper of the thresholds that the users set for such days at both sites.
 */
public class DayModelTest {

    private static final int SEEDS = 8;

    @DataProvider
    public Object[][] days() {
        return new Object[][] {
            {SiteModel.lagilagi(), "quiet", 0.488},
            {SiteModel.lagilagi(), "trouble", 0.54},
            {SiteModel.lagilagi(), "scale", 0.419},
            {SiteModel.bureau(), "quiet", 0.988},
            {SiteModel.bureau(), "trouble", 0.842},
            {SiteModel.bureau(), "scale", 0.615},
        };
    }

    @Test(dataProvider = "days")
    public void dayUtilityReachesTheUsersThreshold(SiteModel site, String profile, double threshold) {
        double mean = LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToDouble(seed -> simulate(site, profile, seed).utility())
                .average()
                .orElse(0);
        assertTrue(mean >= threshold, site.name() + " " + profile + ": " + mean + " below the threshold " + threshold);
    }

    @Test
    public void sameSeedGivesSameResult() {
        assertEquals(simulate(SiteModel.bureau(), "quiet", 5), simulate(SiteModel.bureau(), "quiet", 5));
    }

    private static DayModel.Result simulate(SiteModel site, String profile, long seed) {
        return new DayModel(site, DayModelMain.LOAD_PROFILES.get(profile), seed).simulate();
    }
}
