package org.fuchsiawinch.replay;

import java.util.List;

/** What came of loading the input of a replay. */
public sealed interface LoadResult {

    /**
     * All files are valid.
     *
     * @param input the input
     */
    record Loaded(ReplayInput input) implements LoadResult {}

    /**
     * At least one file is invalid; nothing is replayed.
     *
     * @param problems all problems
     */
    record Refused(List<ReplayProblem> problems) implements LoadResult {

        /**
         * Copies the list.
         */
        public Refused {
            problems = List.copyOf(problems);
        }
    }
}
