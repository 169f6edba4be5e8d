package org.fuchsiawinch.replay.outcome;

import java.util.List;

/** What came of reading an outcome file. */
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
     * One problem with its place.
     *
     * @param line line from 1 on; 0 where the file as a whole is meant
     * @param field name of the field
     * @param fault what is wrong
     */
    record OutcomeProblem(int line, String field, OutcomeFault fault) {}

    /** Kinds of problems. */
    enum OutcomeFault {
        /** The text is no YAML mapping. */
        NOT_YAML,
        /** A field is missing. */
        FIELD_MISSING,
        /** A field has another type, or isn't one of the values allowed. */
        FIELD_INVALID
    }
}
