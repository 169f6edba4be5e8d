package org.fuchsiawinch.report.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.replay.ReplayInput;
import org.fuchsiawinch.replay.SchedulingPolicy;
import org.fuchsiawinch.replay.check.CheckReport;
import org.fuchsiawinch.replay.check.PromiseChecker;
import org.fuchsiawinch.replay.check.SpendLedger;
import org.fuchsiawinch.replay.engine.ReplayEngine;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.measure.MeasureCalculator;
import org.fuchsiawinch.replay.measure.Measures;
import org.fuchsiawinch.report.records.JobRecord;
import org.fuchsiawinch.report.records.Records;
import org.fuchsiawinch.report.records.SystemSample;

/**
 * Replays a trace and derives the records that a node would have written. Times are in ms from the start of the trace.
 * Jobs without an outcome at the end of the replay have no record, and there are no samples of workspaces' spend.
 * Stateless.
 */
public final class ReplayRecords {

    private ReplayRecords() {}

    /**
     * Replays a trace.
     *
     * @param input the trace and its documents
     * @param policy scheduler that replays the trace
     * @param seed seed of the protocol delays
     * @return the records; equal for equal arguments
     */
    public static Records of(ReplayInput input, SchedulingPolicy policy, long seed) {
        List<HistoryEvent> history = new ReplayEngine(
                        input.trace(), input.policy(), input.policiesByFile(), policy.newScheduler(), seed)
                .run();
        CheckReport report = new PromiseChecker().check(history);
        Set<JobId> guaranteed = new HashSet<>();
        report.guaranteedStarts().forEach(start -> guaranteed.add(start.job()));
        Measures measures = new MeasureCalculator().measure(policy.label(), seed, input.trace(), history, report);
        return new Records(jobs(history, guaranteed), samples(history, measures), List.of());
    }

    private static List<JobRecord> jobs(List<HistoryEvent> history, Set<JobId> guaranteed) {
        RequestTracker requests = new RequestTracker();
        history.forEach(requests::apply);
        return requests.records(guaranteed);
    }

    private static List<SystemSample> samples(List<HistoryEvent> history, Measures measures) {
        SpendLedger spend = new SpendLedger();
        Set<JobId> waiting = new HashSet<>();
        List<SystemSample> samples = new ArrayList<>();
        int nextEvent = 0;
        for (Measures.FragmentationSample sample : measures.fragmentationOverTime()) {
            while (nextEvent < history.size() && history.get(nextEvent).atMs() <= sample.atMs()) {
                spend.onEvent(history.get(nextEvent));
                updateWaiting(history.get(nextEvent), waiting);
                nextEvent++;
            }
            double micros = spend.spentMicros().values().stream()
                    .mapToDouble(Double::doubleValue)
                    .sum();
            samples.add(new SystemSample(sample.atMs(), sample.fragmentation(), waiting.size(), Math.round(micros)));
        }
        return samples;
    }

    private static void updateWaiting(HistoryEvent event, Set<JobId> waiting) {
        if (event instanceof HistoryEvent.JobSubmitted submitted) {
            waiting.add(submitted.spec().id());
        } else if (event instanceof HistoryEvent.StartDecided start) {
            waiting.remove(start.attempt().job());
        } else if (event instanceof HistoryEvent.JobEndReported reported) {
            waiting.remove(reported.job());
        } else if (event instanceof HistoryEvent.ResultDelivered result) {
            waiting.remove(result.job());
        }
    }
}
