package org.fuchsiawinch.workflow;

import java.util.Iterator;
import java.util.stream.LongStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against tasks that run twice, out of order or never, over seeded schedules of faults. A run by hand sets
 * {@code -Dschedules} and {@code -DfirstSeed}; each seed is a case of its own.
 */
public class OwnerFaultScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("schedules", 30);
    private static final long FIRST_SEED = Long.getLong("firstSeed", 1L);

    /** Seeds that failed once, each with the fault that it found. */
    @DataProvider
    public static Object[][] failedSeeds() {
        return new Object[][] {
            {441L, "a start order that was not answered ran on a restarted worker after its task was done"},
            {473L, "the same, the task done by another worker"},
            {922L, "a run was given up while a restart that the owner had not noticed had renewed its lease"},
            {3488L, "a task was started again beside a late run that was still being stopped"},
            {7186L, "the same after a change of owner"},
        };
    }

    @Test(dataProvider = "failedSeeds")
    public void keepsTheRulesOnSeedsThatFailed(long seed, String fault) {
        play(seed, new FaultSchedule(seed));
    }

    /** The seeds of this run, each a case of its own. */
    @DataProvider
    public static Iterator<Object[]> seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SCHEDULES)
                .mapToObj(seed -> new Object[] {seed})
                .iterator();
    }

    // Guards against an owner that acts on a lease or an epoch that has run out while its clock stood still.
    @Test(dataProvider = "seeds")
    public void keepsTheRulesWhenOwnersAreSuspended(long seed) {
        play(seed, new FaultSchedule(seed, true));
    }

    // Guards against tasks that run twice, out of order or never, whatever the order of the faults.
    @Test(dataProvider = "seeds")
    public void keepsTheRulesUnderFaults(long seed) {
        play(seed, new FaultSchedule(seed));
    }

    // Guards against a task that is started again although its failed runs have used up its attempts.
    @Test(dataProvider = "seeds")
    public void keepsTheRulesWhenManyRunsFail(long seed) {
        play(seed, new FaultSchedule(seed).withManyFailures());
    }

    private static void play(long seed, FaultSchedule schedule) {
        try {
            schedule.play();
        } catch (RunRules.Violation violation) {
            throw new AssertionError(report(seed, schedule.simulation(), violation), violation);
        }
    }

    private static String report(long seed, FaultSimulation simulation, RunRules.Violation violation) {
        return "seed " + seed + " at " + (simulation.nowMs - FaultSimulation.START_MS) + " ms: "
                + violation.getMessage() + "\n" + String.join("\n", simulation.logOf(violation.job)) + "\nfaults:\n"
                + String.join("\n", simulation.faults);
    }
}
