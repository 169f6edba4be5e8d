package org.fuchsiawinch.explore.membership;

/**
 * Results of one trial. Durations are virtual, in ms, and end at the time limit of their phase.
 *
 * @param settings settings of the trial
 * @param traffic traffic in the steady phase
 * @param joinMs duration from the simultaneous start of all nodes until every node knew all others
 * @param joinTraffic traffic during {@code joinMs}
 * @param detection durations from a crash until each observer declared the node dead
 * @param missedDetections observers that did not declare a crashed node dead within the round
 * @param detectionSpread durations from the first to the last observer's declaration of a crash
 * @param arrival durations from the start of a process until all nodes could route to it
 * @param leaveMs duration until no node routed to a leaving node
 * @param falseDeathsPerNodeHour declarations of running nodes as dead, by any observer, per node and hour; the node
 *     paused in a round does not count
 * @param shortPause rounds with a pause of 2 s
 * @param longPause rounds with a pause of 10 s
 * @param convergence accuracy of equal update times as an indication of equal views
 */
public record TrialResult(
        TrialSettings settings,
        Traffic traffic,
        long joinMs,
        Traffic joinTraffic,
        DurationSamples detection,
        int missedDetections,
        DurationSamples detectionSpread,
        DurationSamples arrival,
        long leaveMs,
        double falseDeathsPerNodeHour,
        Pauses shortPause,
        Pauses longPause,
        Convergence convergence) {

    /**
     * Traffic in one phase, in bytes per second.
     *
     * @param sentMean mean over the nodes of the bytes sent
     * @param totalMean mean over the nodes of the bytes sent and received
     * @param totalMax bytes sent and received by the busiest node
     */
    public record Traffic(double sentMean, double totalMean, double totalMax) {}

    /**
     * Rounds in which one node was paused.
     *
     * @param rounds number of rounds
     * @param declaredDead rounds in which any node declared the paused one dead
     * @param othersDeclaredDead declarations as dead of nodes that were not paused
     * @param agreedAfterMaxMs maximum time from the end of the pause until all views agreed again
     */
    public record Pauses(int rounds, int declaredDead, int othersDeclaredDead, long agreedAfterMaxMs) {}

    /**
     * Comparison of update times with views, sampled over all nodes at one time, during crashes and starts.
     *
     * @param samples number of samples
     * @param wronglyEqual samples with equal update times but different views
     * @param wronglyDifferent samples with equal views but different update times
     */
    public record Convergence(int samples, int wronglyEqual, int wronglyDifferent) {}
}
