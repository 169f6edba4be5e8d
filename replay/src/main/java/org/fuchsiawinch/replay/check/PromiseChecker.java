package org.fuchsiawinch.replay.check;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.replay.history.HistoryEvent;

/** Checks histories against all promises. Stateless; thread-safe. */
public final class PromiseChecker {

    /**
     * Checks one history.
     *
     * @param history all events in order of time
     * @return violations and guaranteed starts
     */
    public CheckReport check(List<HistoryEvent> history) {
        GuaranteeCheck guarantees = new GuaranteeCheck();
        List<HistoryCheck> checks = List.of(
                new OvercommitCheck(),
                new GangCheck(),
                guarantees,
                new NotRunCheck(),
                new AtMostOnceCheck(),
                new ClosedWorkerCheck(),
                new AnswerCheck(),
                new SpendCheck());
        List<Violation> violations = new ArrayList<>();
        for (HistoryEvent event : history) {
            checks.forEach(check -> check.onEvent(event, violations::add));
        }
        long endMs = history.isEmpty() ? 0 : history.get(history.size() - 1).atMs();
        checks.forEach(check -> check.finish(endMs, violations::add));
        return new CheckReport(violations, guarantees.starts());
    }
}
