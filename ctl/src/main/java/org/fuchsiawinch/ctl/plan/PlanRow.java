package org.fuchsiawinch.ctl.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import org.fuchsiawinch.replay.check.Promise;
import org.fuchsiawinch.replay.measure.Measures;
import org.fuchsiawinch.replay.measure.Measures.WorkspaceSpend;

/**
 * Row of the plan table.
 *
 * @param label name of the measure, with its unit
 * @param value extracts the value from the measures of a replay
 */
record PlanRow(String label, ToDoubleFunction<Measures> value) {

    private static final double MS_PER_S = 1_000;
    private static final double MS_PER_MIN = 60_000;
    private static final double MS_PER_H = 3_600_000;
    private static final double MICROS_PER_UNIT = 1_000_000;
    private static final double PERCENT = 100;

    /**
     * Returns the rows that every plan has.
     *
     * @param currency currency of amounts
     * @param workspaces names of the workspaces
     * @return the rows in the order of the table
     */
    static List<PlanRow> all(String currency, List<String> workspaces) {
        List<PlanRow> rows = new ArrayList<>(List.of(
                new PlanRow("requests completed", m -> m.jobs().completed()),
                new PlanRow("requests refused", m -> m.jobs().refused()),
                new PlanRow("requests told impossible", m -> m.jobs().impossible()),
                new PlanRow("requests open at the end", m -> m.jobs().open()),
                new PlanRow("completion mean, min", m -> m.completionMs().meanMs() / MS_PER_MIN),
                new PlanRow("completion p95, min", m -> m.completionMs().p95Ms() / MS_PER_MIN),
                new PlanRow("completion p99, min", m -> m.completionMs().p99Ms() / MS_PER_MIN),
                new PlanRow("slowdown mean", Measures::slowdownMean),
                new PlanRow("fragmentation, %", m -> m.fragmentation() * PERCENT),
                new PlanRow(
                        "guaranteed start p95, s", m -> m.guaranteedStartMs().p95Ms() / MS_PER_S),
                new PlanRow(
                        "guaranteed start max, s", m -> m.guaranteedStartMs().maxMs() / MS_PER_S),
                new PlanRow("reclaim p95, s", m -> m.reclaimMs().p95Ms() / MS_PER_S),
                new PlanRow("reclaim max, s", m -> m.reclaimMs().maxMs() / MS_PER_S),
                new PlanRow(
                        "largest jobs' wait max, min", m -> m.largestJobWaitMs().maxMs() / MS_PER_MIN),
                new PlanRow("lost work, accelerator h", m -> m.lostWorkAcceleratorMs() / MS_PER_H),
                new PlanRow("promises broken", Measures::violationCount),
                new PlanRow("spend, " + currency, m -> totalSpend(m.spend()))));
        for (String workspace : workspaces) {
            rows.add(new PlanRow("spend of " + workspace + ", " + currency, m -> totalSpend(spendOf(m, workspace))));
            rows.add(new PlanRow(
                    "highest period of " + workspace + ", % of limit", m -> highestPeriodPercent(m, workspace)));
        }
        return rows;
    }

    /**
     * Returns the row of one promise.
     *
     * @param promise the promise
     * @return row with the number of its violations
     */
    static PlanRow brokenPromise(Promise promise) {
        String name = promise.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return new PlanRow("broken: " + name, m -> m.promisesBroken().getOrDefault(promise, 0));
    }

    private static List<WorkspaceSpend> spendOf(Measures measures, String workspace) {
        return measures.spend().stream()
                .filter(spend -> spend.workspace().equals(workspace))
                .toList();
    }

    private static double totalSpend(List<WorkspaceSpend> spends) {
        return spends.stream().mapToLong(WorkspaceSpend::totalMicros).sum() / MICROS_PER_UNIT;
    }

    private static double highestPeriodPercent(Measures measures, String workspace) {
        return spendOf(measures, workspace).stream()
                .filter(spend -> spend.limitMicros() > 0)
                .mapToDouble(spend -> spend.highestPeriodMicros() * PERCENT / spend.limitMicros())
                .findFirst()
                .orElse(0);
    }
}
