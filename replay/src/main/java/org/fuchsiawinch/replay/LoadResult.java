package org.fuchsiawinch.replay;

import java.util.List;

/** Result of loading the input of a replay. */
public sealed interface LoadResult {

    /**
     * All files were valid.
     *
     * @param input the loaded input
     */
    record Loaded(ReplayInput input) implements LoadResult {}

    /**
     * At least one file was invalid; nothing is replayed.
     *
     * @param problems problems of all files
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
