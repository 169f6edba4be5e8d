package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks a history against the promises. Uses only observations made outside the nodes: parts on workers, answers to
 * callers and documents in force. Thread-safe.
 */
final class HistoryChecker {

    private HistoryChecker() {}

    /** Returns all violations, or an empty list if every promise was kept. */
    static List<Violation> check(History history) {
        List<Violation> violations = new ArrayList<>();
        PartRuns runs = PartRuns.of(history);
        WorkChecks.check(history, runs, violations);
        AnswerChecks.check(history, runs, violations);
        DocumentChecks.check(history, violations);
        for (Observation.Drained drained : history.of(Observation.Drained.class)) {
            if (drained.open() > 0) {
                String detail = drained.node() + " left " + drained.open() + " requests open";
                violations.add(new Violation(Violation.Promise.DRAIN_CUTS_NOTHING, drained.atMs(), detail));
            }
        }
        for (Observation.NotDrained stuck : history.of(Observation.NotDrained.class)) {
            String detail = stuck.node() + " never finished its stop";
            violations.add(new Violation(Violation.Promise.DRAIN_CUTS_NOTHING, stuck.atMs(), detail));
        }
        return violations;
    }
}
