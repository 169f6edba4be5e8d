package org.fuchsiawinch.replay.trace;

import java.util.List;

/** Result of reading a trace. */
public sealed interface TraceReadResult {

    /**
     * The trace is valid.
     *
     * @param trace the trace
     */
    record Accepted(Trace trace) implements TraceReadResult {}

    /**
     * The trace is invalid; nothing of it is used.
     *
     * @param problems all problems in order of line
     */
    record Rejected(List<TraceProblem> problems) implements TraceReadResult {

        /**
         * Copies the list.
         */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }
}
