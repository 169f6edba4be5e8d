package org.fuchsiawinch.replay;

import java.util.List;

import org.fuchsiawinch.replay.check.Violation;
import org.fuchsiawinch.replay.measure.Measures;

/**
 * Measures and violations of one replay.
 *
 * @param trace name of the trace
 * @param measures the measures
 * @param violations violations of promises, in the order in which they were found
 */
public record ReplayResult(String trace, Measures measures, List<Violation> violations) {

    /**
     * Copies the list.
     */
    public ReplayResult {
        violations = List.copyOf(violations);
    }
}
