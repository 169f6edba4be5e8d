package org.fuchsiawinch.report.records;

import java.util.List;

/** Result of reading records: taken whole or rejected whole. */
public sealed interface RecordsResult {

    /**
     * All lines are valid.
     *
     * @param records the records
     */
    record Accepted(Records records) implements RecordsResult {}

    /**
     * Some lines are not valid.
     *
     * @param problems the first problems, in the order of their lines; never empty
     */
    record Rejected(List<RecordProblem> problems) implements RecordsResult {

        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }
}
