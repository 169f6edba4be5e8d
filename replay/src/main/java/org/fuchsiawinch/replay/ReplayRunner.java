package org.fuchsiawinch.replay;

import java.util.List;

import org.fuchsiawinch.replay.check.CheckReport;
import org.fuchsiawinch.replay.check.PromiseChecker;
import org.fuchsiawinch.replay.engine.ReplayEngine;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.measure.MeasureCalculator;

/** Replays a trace, checks the promises and computes the measures. Stateless; thread-safe. */
public final class ReplayRunner {

    private final PromiseChecker checker = new PromiseChecker();
    private final MeasureCalculator calculator = new MeasureCalculator();

    /**
     * Runs one replay.
     *
     * @param input the trace and its documents
     * @param policy scheduling policy to run
     * @param seed seed of the protocol delays
     * @return measures and violations; equal arguments give equal results
     */
    public ReplayResult run(ReplayInput input, SchedulingPolicy policy, long seed) {
        ReplayEngine engine =
                new ReplayEngine(input.trace(), input.policy(), input.policiesByFile(), policy.newScheduler(), seed);
        List<HistoryEvent> history = engine.run();
        CheckReport report = checker.check(history);
        return new ReplayResult(
                input.trace().name(),
                calculator.measure(policy.label(), seed, input.trace(), history, report),
                report.violations());
    }
}
