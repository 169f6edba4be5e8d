package org.fuchsiawinch.workflow;

import java.util.stream.LongStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against scheduling changes that lower the utility of a whole simulated day with a burst of urgent jobs. The
 * bounds are the users' upper marks for such days at both sites.
 */
public class DayModelTest {

    private static final int SEEDS = 8;

    @DataProvider
    public Object[][] days() {
        return new Object[][] {
            {DaySite.lagilagi(), "quiet", 0.488},
            {DaySite.lagilagi(), "trouble", 0.54},
            {DaySite.lagilagi(), "scale", 0.419},
            {DaySite.bureau(), "quiet", 0.988},
            {DaySite.bureau(), "trouble", 0.842},
            {DaySite.bureau(), "scale", 0.615},
        };
    }

    @Test(dataProvider = "days")
    public void aDayIsWorthAtLeastTheUsersMark(DaySite site, String shape, double mark) {
        double mean = LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToDouble(seed -> play(site, shape, seed).worth())
                .average()
                .orElse(0);
        assertTrue(mean >= mark, site.name() + " " + shape + ": " + mean + " under " + mark);
    }

    @Test
    public void theSameSeedGivesTheSameDay() {
        assertEquals(play(DaySite.bureau(), "quiet", 5), play(DaySite.bureau(), "quiet", 5));
    }

    private static DayModel.Result play(DaySite site, String shape, long seed) {
        return new DayModel(site, DayModelMain.SHAPES.get(shape), seed).play();
    }
}
