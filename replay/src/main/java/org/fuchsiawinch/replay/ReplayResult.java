package org.fuchsiawinch.replay;

import java.util.List;

import org.fuchsiawinch.replay.check.Violation;
import org.fuchsiawinch.replay.measure.Measures;

/**
 * Figures of one replay and its broken promises.
 *
 * @param trace name of the trace
 * @param measures the figures
 * @param violations the broken promises
 */
public record ReplayResult(String trace, Measures measures, List<Violation> violations) {

    /**
     * Copies the list.
     */
    public ReplayResult {
        violations = List.copyOf(violations);
    }
}
