package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Guards against tasks that run twice, out of order or never, over seeded schedules of faults. A run by hand sets
 * {@code -Dschedules}, {@code -DfirstSeed} and, for a report of each failing seed, {@code -Dtrace=true}.
 */
public class OwnerFaultScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("schedules", 30);
    private static final long FIRST_SEED = Long.getLong("firstSeed", 1L);
    private static final boolean TRACE = Boolean.getBoolean("trace");

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
        new FaultSchedule(seed).play();
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
        new FaultSchedule(seed, true).play();
    }

    @Test
    public void keepsTheRulesUnderFaults() {
        Map<String, List<Long>> failing = new TreeMap<>();
        List<String> firstReports = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            FaultSchedule schedule = new FaultSchedule(seed);
            try {
                schedule.play();
            } catch (RunRules.Violation violation) {
                List<Long> seeds = failing.computeIfAbsent(violation.rule, rule -> new ArrayList<>());
                seeds.add(seed);
                if (TRACE || seeds.size() == 1) {
                    firstReports.add(report(seed, schedule.simulation(), violation));
                }
            }
        }
        String summary = "of " + SCHEDULES + " seeds from " + FIRST_SEED + " fail " + failing;
        System.out.println("event=fault-schedules " + summary);
        if (TRACE) {
            firstReports.forEach(System.out::println);
        }
        assertTrue(failing.isEmpty(), summary + "\n" + String.join("\n", firstReports));
    }

    private static String report(long seed, FaultSimulation simulation, RunRules.Violation violation) {
        return "seed " + seed + " at " + (simulation.nowMs - FaultSimulation.START_MS) + " ms: "
                + violation.getMessage() + "\n" + String.join("\n", simulation.logOf(violation.job)) + "\nfaults:\n"
                + String.join("\n", simulation.faults);
    }
}
