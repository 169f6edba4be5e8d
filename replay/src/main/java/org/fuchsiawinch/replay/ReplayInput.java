package org.fuchsiawinch.replay;

import java.util.Map;

import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.replay.trace.Trace;

/**
 * All that a replay reads, whole and valid.
 *
 * @param trace the trace
 * @param policy the document in force from the start
 * @param policiesByFile documents by the name of their file in the trace
 */
public record ReplayInput(Trace trace, Policy policy, Map<String, Policy> policiesByFile) {

    /**
     * Copies the map.
     */
    public ReplayInput {
        policiesByFile = Map.copyOf(policiesByFile);
    }
}
