package org.fuchsiawinch.replay.outcome;

import java.util.List;

/**
 * Expected outcome of a replay: its input and the targets to meet.
 *
 * @param trace file of the trace, relative to the directory of the outcome file
 * @param document file of the document, relative to the directory of the outcome file
 * @param seed seed of the replay
 * @param targets all targets
 */
public record Outcome(String trace, String document, long seed, List<Target> targets) {

    /**
     * Copies the list.
     */
    public Outcome {
        targets = List.copyOf(targets);
    }
}
