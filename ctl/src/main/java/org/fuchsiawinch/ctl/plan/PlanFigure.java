package org.fuchsiawinch.ctl.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import org.fuchsiawinch.replay.check.Promise;
import org.fuchsiawinch.replay.measure.Measures;
import org.fuchsiawinch.replay.measure.Measures.WorkspaceSpend;

/**
 * One line of a plan.
 *
 * @param label what it shows, with the unit
 * @param value gives the figure
 */
record PlanFigure(String label, ToDoubleFunction<Measures> value) {

    private static final double MS_PER_S = 1_000;
    private static final double MS_PER_MIN = 60_000;
    private static final double MS_PER_H = 3_600_000;
    private static final double MICROS_PER_UNIT = 1_000_000;
    private static final double PERCENT = 100;

    /**
     * Lists the figures of a plan.
     *
     * @param currency currency of amounts
     * @param workspaces names of the workspaces
     * @return the figures in the order of their lines
     */
    static List<PlanFigure> all(String currency, List<String> workspaces) {
        List<PlanFigure> figures = new ArrayList<>(List.of(
                new PlanFigure("requests completed", m -> m.jobs().completed()),
                new PlanFigure("requests refused", m -> m.jobs().refused()),
                new PlanFigure("requests told impossible", m -> m.jobs().impossible()),
                new PlanFigure("requests open at the end", m -> m.jobs().open()),
                new PlanFigure("completion mean, min", m -> m.completionMs().meanMs() / MS_PER_MIN),
                new PlanFigure("completion p95, min", m -> m.completionMs().p95Ms() / MS_PER_MIN),
                new PlanFigure("completion p99, min", m -> m.completionMs().p99Ms() / MS_PER_MIN),
                new PlanFigure("slowdown mean", Measures::slowdownMean),
                new PlanFigure("fragmentation, %", m -> m.fragmentation() * PERCENT),
                new PlanFigure(
                        "guaranteed start p95, s", m -> m.guaranteedStartMs().p95Ms() / MS_PER_S),
                new PlanFigure(
                        "guaranteed start max, s", m -> m.guaranteedStartMs().maxMs() / MS_PER_S),
                new PlanFigure("reclaim p95, s", m -> m.reclaimMs().p95Ms() / MS_PER_S),
                new PlanFigure("reclaim max, s", m -> m.reclaimMs().maxMs() / MS_PER_S),
                new PlanFigure(
                        "largest jobs' wait max, min", m -> m.largestJobWaitMs().maxMs() / MS_PER_MIN),
                new PlanFigure("lost work, accelerator h", m -> m.lostWorkAcceleratorMs() / MS_PER_H),
                new PlanFigure("promises broken", Measures::violationCount),
                new PlanFigure("spend, " + currency, m -> spent(m.spend()))));
        for (String workspace : workspaces) {
            figures.add(new PlanFigure("spend of " + workspace + ", " + currency, m -> spent(of(m, workspace))));
            figures.add(new PlanFigure("highest period of " + workspace + ", % of limit", m -> ofLimit(m, workspace)));
        }
        return figures;
    }

    /**
     * Gives the figure of one promise.
     *
     * @param promise the promise
     * @return the count of its violations
     */
    static PlanFigure promise(Promise promise) {
        String name = promise.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return new PlanFigure("broken: " + name, m -> m.promisesBroken().getOrDefault(promise, 0));
    }

    private static List<WorkspaceSpend> of(Measures measures, String workspace) {
        return measures.spend().stream()
                .filter(spend -> spend.workspace().equals(workspace))
                .toList();
    }

    private static double spent(List<WorkspaceSpend> spends) {
        return spends.stream().mapToLong(WorkspaceSpend::totalMicros).sum() / MICROS_PER_UNIT;
    }

    private static double ofLimit(Measures measures, String workspace) {
        return of(measures, workspace).stream()
                .filter(spend -> spend.limitMicros() > 0)
                .mapToDouble(spend -> spend.highestPeriodMicros() * PERCENT / spend.limitMicros())
                .findFirst()
                .orElse(0);
    }
}
