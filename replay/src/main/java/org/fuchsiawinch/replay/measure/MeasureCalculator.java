package org.fuchsiawinch.replay.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.replay.check.CheckReport;
import org.fuchsiawinch.replay.check.GuaranteedStart;
import org.fuchsiawinch.replay.check.SpendLedger;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.trace.Trace;

/** Computes all measures of a replay. Stateless; thread-safe. */
public final class MeasureCalculator {

    /**
     * Computes the measures.
     *
     * @param policyName name of the scheduling policy
     * @param seed seed of the replay
     * @param trace the trace
     * @param history events of the replay in order of time
     * @param report result of checking the history
     * @return the measures
     */
    public Measures measure(String policyName, long seed, Trace trace, List<HistoryEvent> history, CheckReport report) {
        RequestTracker requests = new RequestTracker(trace);
        StopTracker stops = new StopTracker();
        FragmentationMeter fragmentation = new FragmentationMeter(trace.lastEventMs());
        SpendLedger spend = new SpendLedger();
        Policy policy = null;
        for (HistoryEvent event : history) {
            requests.onEvent(event);
            stops.onEvent(event);
            fragmentation.onEvent(event);
            spend.onEvent(event);
            if (event instanceof HistoryEvent.PolicyInForce inForce) {
                policy = inForce.policy();
            }
        }
        fragmentation.finish();
        spend.finish(history.isEmpty() ? 0 : history.get(history.size() - 1).atMs());
        List<Double> slowdowns = requests.slowdowns();
        List<GuaranteedStart> starts = report.guaranteedStarts();
        return new Measures(
                policyName,
                seed,
                requests.counts(),
                requests.completion(),
                slowdowns.stream().mapToDouble(Double::doubleValue).average().orElse(0),
                percentile(slowdowns, 0.95),
                fragmentation.average(),
                fragmentation.strandedShare(),
                fragmentation.strandedAccelerators(),
                fragmentation.samples(),
                Distribution.of(starts.stream().map(GuaranteedStart::delayMs).toList()),
                highestShareOfBound(starts),
                (int) starts.stream().filter(GuaranteedStart::excused).count(),
                stops.reclaimDurations(),
                requests.largestJobWait(),
                stops.lostAcceleratorMs(),
                spend(policy, spend),
                report.counts());
    }

    private static double highestShareOfBound(List<GuaranteedStart> starts) {
        return starts.stream()
                .filter(start -> !start.excused())
                .mapToDouble(start -> (double) start.delayMs() / Math.max(1, start.boundMs()))
                .max()
                .orElse(0);
    }

    private static double percentile(List<Double> sorted, double share) {
        if (sorted.isEmpty()) {
            return 0;
        }
        int index = (int) Math.ceil(share * sorted.size()) - 1;
        return sorted.get(Math.max(0, index));
    }

    private static List<Measures.WorkspaceSpend> spend(Policy policy, SpendLedger ledger) {
        Map<WorkspaceId, Double> total = new TreeMap<>();
        Map<WorkspaceId, Double> highest = new TreeMap<>();
        ledger.spentMicros().forEach((period, micros) -> {
            total.merge(period.workspace(), micros, Double::sum);
            highest.merge(period.workspace(), micros, Math::max);
        });
        List<Measures.WorkspaceSpend> spend = new ArrayList<>();
        total.forEach((workspace, micros) -> {
            long limit = policy.workspaces().containsKey(workspace)
                    ? policy.workspaces().get(workspace).spendLimitMicros().orElse(-1)
                    : -1;
            spend.add(new Measures.WorkspaceSpend(
                    workspace.value(), Math.round(micros), Math.round(highest.get(workspace)), limit));
        });
        return spend;
    }
}
