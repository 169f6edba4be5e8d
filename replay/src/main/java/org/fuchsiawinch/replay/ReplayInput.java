package org.fuchsiawinch.replay;

import java.util.Map;

import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.replay.trace.Trace;

/**
 * Validated input of a replay: a trace and all documents that it uses.
 *
 * @param trace the trace
 * @param policy policy of the document in force from the start
 * @param policiesByFile policies of the documents that the trace puts in force, by their file name in the trace
 */
public record ReplayInput(Trace trace, Policy policy, Map<String, Policy> policiesByFile) {

    /**
     * Copies the map.
     */
    public ReplayInput {
        policiesByFile = Map.copyOf(policiesByFile);
    }
}
