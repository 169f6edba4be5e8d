package org.fuchsiawinch.report.records;

import java.util.List;

/** Result of reading a file of records, which is accepted or rejected as a whole. */
public sealed interface RecordsResult {

    /**
     * All lines are valid.
     *
     * @param records the records
     */
    record Accepted(Records records) implements RecordsResult {}

    /**
     * At least one line is invalid, or the file could not be read.
     *
     * @param problems the problems found until reading stopped, in line order; never empty
     */
    record Rejected(List<RecordProblem> problems) implements RecordsResult {

        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }
}
