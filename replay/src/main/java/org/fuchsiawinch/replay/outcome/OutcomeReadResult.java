package org.fuchsiawinch.replay.outcome;

import java.util.List;

/** Result of reading an outcome file. */
public sealed interface OutcomeReadResult {

    /**
     * The file is valid.
     *
     * @param outcome the outcome
     */
    record Accepted(Outcome outcome) implements OutcomeReadResult {}

    /**
     * The file is invalid.
     *
     * @param problems all problems
     */
    record Rejected(List<OutcomeProblem> problems) implements OutcomeReadResult {

        /**
         * Copies the list.
         */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }

    /**
     * Problem in an outcome file, with its location.
     *
     * @param line line number from 1; 0 if it is unknown, as for a missing field whose name is not in the file
     * @param field name of the field; empty if the problem concerns no single field
     * @param fault kind of the problem
     */
    record OutcomeProblem(int line, String field, OutcomeFault fault) {}

    /** Kinds of problems. */
    enum OutcomeFault {
        /** The text is not a YAML mapping. */
        NOT_YAML,
        /** A field is missing. */
        FIELD_MISSING,
        /** A field has the wrong type or a value that is not allowed. */
        FIELD_INVALID
    }
}
