package org.fuchsiawinch.replay.check;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Verdict on one history.
 *
 * @param violations broken promises in order of time of finding
 * @param guaranteedStarts starts of guaranteed submits
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
     * Counts how often each promise was broken.
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
