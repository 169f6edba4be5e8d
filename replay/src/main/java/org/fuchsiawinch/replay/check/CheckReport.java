package org.fuchsiawinch.replay.check;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Result of checking one history.
 *
 * @param violations violations in the order in which they were found
 * @param guaranteedStarts starts of jobs that an unused guarantee covered when they were submitted; also lists such
 *     jobs that were overdue at the end without having started
 */
public record CheckReport(List<Violation> violations, List<GuaranteedStart> guaranteedStarts) {

    /**
     * Copies the lists.
     */
    public CheckReport {
        violations = List.copyOf(violations);
        guaranteedStarts = List.copyOf(guaranteedStarts);
    }

    /**
     * Returns the number of violations of each promise.
     *
     * @return a count for every promise, 0 for those kept
     */
    public Map<Promise, Integer> counts() {
        Map<Promise, Integer> counts = new EnumMap<>(Promise.class);
        for (Promise promise : Promise.values()) {
            counts.put(promise, 0);
        }
        violations.forEach(violation -> counts.merge(violation.promise(), 1, Integer::sum));
        return counts;
    }
}
