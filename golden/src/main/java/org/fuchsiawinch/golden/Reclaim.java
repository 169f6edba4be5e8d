package org.fuchsiawinch.golden;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Session in which background forecasts fill the workers with lent capacity and are preempted for a bundle plan and a
 * season plan inside their guarantees.
 */
final class Reclaim {

    private static final int FORECASTS = 6;
    private static final int FORECAST_PARTS = 32;
    private static final int CHECKS = 6;
    private static final int CHECK_PARTS = 8;
    private static final long RECLAIM_BOUND_MS = 60_000;
    private static final long END_MS = 300_000;

    private Reclaim() {}

    static Session session() {
        return new Session("lagilagi-reclaim", SiteTopology.lagilagi(), Reclaim::script, END_MS, expectations());
    }

    private static void script(SessionRunner runner) {
        for (int index = 0; index < FORECASTS; index++) {
            runner.submit(
                    5000 + index * 100,
                    "forecaster-" + index,
                    index % 3,
                    Jobs.forecast("islands-" + index, FORECAST_PARTS, 60_000),
                    Jobs.payload(60_000, "demand"),
                    true);
        }
        for (int index = 0; index < CHECKS; index++) {
            runner.submit(
                    8000 + index * 100,
                    "checker-" + index,
                    index % 3,
                    Jobs.certificate("pallet-" + index, CHECK_PARTS, 90_000),
                    Jobs.payload(90_000, "glow"),
                    true);
        }
        runner.submit(20_000, "planner", 1, Jobs.plan("hibiscus", 20_000), Jobs.payload(20_000, "bundles"), true);
        runner.submit(21_000, "season", 2, Jobs.seasonPlan("diwali", 20_000), Jobs.payload(20_000, "season"), true);
    }

    private static List<Expectation> expectations() {
        List<Expectation> expectations = new ArrayList<>();
        expectations.add(Expectation.startedWithin("plans.hibiscus", 20_000, RECLAIM_BOUND_MS));
        expectations.add(Expectation.startedWithin("plans.diwali", 21_000, RECLAIM_BOUND_MS));
        expectations.add(Expectation.runs("plans.hibiscus", 8, 1));
        expectations.add(Expectation.runs("plans.diwali", 16, 1));
        expectations.add(Expectation.wholeAnswer("planner", "plans.hibiscus", "bundles", 8));
        expectations.add(Expectation.wholeAnswer("season", "plans.diwali", "season", 16));
        List<String> forecasts = IntStream.range(0, FORECASTS)
                .mapToObj(index -> "forecasts.islands-" + index)
                .toList();
        expectations.add(Expectation.someRestarted(forecasts, FORECAST_PARTS));
        for (int index = 0; index < FORECASTS; index++) {
            String job = "forecasts.islands-" + index;
            expectations.add(Expectation.wholeAnswer("forecaster-" + index, job, "demand", FORECAST_PARTS));
            expectations.add(Expectation.runsAtMost(job, FORECAST_PARTS, 2));
        }
        for (int index = 0; index < CHECKS; index++) {
            String job = "certificates.pallet-" + index;
            expectations.add(Expectation.wholeAnswer("checker-" + index, job, "glow", CHECK_PARTS));
            expectations.add(Expectation.runsAtMost(job, CHECK_PARTS, 2));
        }
        return expectations;
    }
}
