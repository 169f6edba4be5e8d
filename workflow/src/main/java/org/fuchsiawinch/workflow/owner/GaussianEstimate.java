package org.fuchsiawinch.workflow.owner;

/** Gaussian estimate of a quantity: posterior mean and variance, updated by observations. Not thread-safe. */
final class GaussianEstimate {

    private double mean;
    private double variance;

    GaussianEstimate(double mean, double variance) {
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
     * @param innovation innovation: observed sum minus expected sum
     * @param innovationVariance variance of the innovation, including this quantity's variance
     */
    void update(double innovation, double innovationVariance) {
        double gain = variance / innovationVariance;
        mean += gain * innovation;
        variance *= 1 - gain;
    }

    /** Increases the variance up to a maximum, since the quantity may change over time. */
    void inflateVariance(double increment, double maxVariance) {
        variance = Math.min(maxVariance, variance + increment);
    }
}
