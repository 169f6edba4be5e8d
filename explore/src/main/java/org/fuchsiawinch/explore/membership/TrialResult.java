package org.fuchsiawinch.explore.membership;

/**
 * Figures of one trial. Times are virtual, in ms.
 *
 * @param settings what was run
 * @param traffic bytes in the steady phase
 * @param joinMs time until all nodes knew all others after a common start
 * @param joinTraffic bytes until then
 * @param detection times from a crash to each observer's verdict
 * @param missedDetections verdicts that did not come within a round
 * @param spread times from the first to the last observer's verdict on a crash
 * @param arrival times from a process's start until all nodes may route to it
 * @param leaveMs time until no node routed to a leaving one
 * @param falseDeathsPerNodeHour verdicts on nodes that ran, by any observer, per node and hour
 * @param shortPause rounds with a pause of 2 s
 * @param longPause rounds with a pause of 10 s
 * @param convergence how well equal update times told equal views
 */
public record TrialResult(
        TrialSettings settings,
        Traffic traffic,
        long joinMs,
        Traffic joinTraffic,
        DurationSamples detection,
        int missedDetections,
        DurationSamples spread,
        DurationSamples arrival,
        long leaveMs,
        double falseDeathsPerNodeHour,
        Pauses shortPause,
        Pauses longPause,
        Convergence convergence) {

    /**
     * Bytes a second in one phase.
     *
     * @param sentMean sent by a node, mean
     * @param totalMean sent and received by a node, mean
     * @param totalMax sent and received by the busiest node
     */
    public record Traffic(double sentMean, double totalMean, double totalMax) {}

    /**
     * Rounds in which one node was paused.
     *
     * @param rounds number of rounds
     * @param declaredDead rounds in which any node declared the paused one dead
     * @param othersDeclaredDead verdicts on nodes that were not paused
     * @param agreedAfterMaxMs greatest time from waking until all views agreed again
     */
    public record Pauses(int rounds, int declaredDead, int othersDeclaredDead, long agreedAfterMaxMs) {}

    /**
     * Samples of the views of all nodes at one moment, taken during crashes and starts.
     *
     * @param samples number of samples
     * @param wronglyEqual samples with equal update times but different views
     * @param wronglyDifferent samples with equal views but different update times
     */
    public record Convergence(int samples, int wronglyEqual, int wronglyDifferent) {}
}
