package org.fuchsiawinch.explore.membership;

import java.util.HashSet;
import java.util.Set;

/** Compares convergence as indicated by equal update times with the actual views of the nodes. Not thread-safe. */
final class ConvergenceObserver {

    private final VirtualNetwork network;
    private int samples;
    private int wronglyEqual;
    private int wronglyDifferent;

    ConvergenceObserver(VirtualNetwork network) {
        this.network = network;
    }

    void sample() {
        Set<Long> updateTimes = new HashSet<>();
        Set<Long> views = new HashSet<>();
        for (SimulatedNode node : network.nodes()) {
            views.add(node.viewDigest);
            updateTimes.add(node.updateMs());
        }
        boolean equalTimes = updateTimes.size() == 1;
        boolean equalViews = views.size() == 1;
        samples++;
        wronglyEqual += equalTimes && !equalViews ? 1 : 0;
        wronglyDifferent += !equalTimes && equalViews ? 1 : 0;
    }

    TrialResult.Convergence result() {
        return new TrialResult.Convergence(samples, wronglyEqual, wronglyDifferent);
    }
}
