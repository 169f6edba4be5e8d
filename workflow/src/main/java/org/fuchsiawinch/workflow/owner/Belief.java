package org.fuchsiawinch.workflow.owner;

/** Gaussian estimate of a quantity: posterior mean and variance, updated by observations. Not thread-safe. */
final class Belief {

    private double mean;
    private double variance;

    Belief(double mean, double variance) {
        this.mean = mean;
        this.variance = variance;
    }

    double mean() {
        return mean;
    }

    double variance() {
        return variance;
    }

    /**
     * Updates the estimate from an observation of a sum that includes this quantity, as a Kalman filter does.
     *
     * @param surprise innovation: observed sum minus expected sum
     * @param total variance of the innovation, including this quantity's variance
     */
    void learn(double surprise, double total) {
        double share = variance / total;
        mean += share * surprise;
        variance *= 1 - share;
    }

    /** Increases the variance up to a maximum, since the quantity may change over time. */
    void drift(double added, double most) {
        variance = Math.min(most, variance + added);
    }
}
