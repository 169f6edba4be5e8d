package org.fuchsiawinch.replay.outcome;

import java.util.List;

/**
 * What a replay of one trace is to come to.
 *
 * @param trace file of the trace, relative to the outcome's folder
 * @param document file of the document, relative to the outcome's folder
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
