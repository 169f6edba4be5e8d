package org.fuchsiawinch.workflow.owner;

/** An estimate of a quantity that grows surer with each observation. Not thread-safe. */
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
     * Takes its part of an observation of a sum.
     *
     * @param surprise observed sum less the expected one
     * @param total variance of the whole surprise, this quantity's own included
     */
    void learn(double surprise, double total) {
        double share = variance / total;
        mean += share * surprise;
        variance *= 1 - share;
    }

    /** Grows less sure, as the quantity may have changed since. */
    void drift(double added, double most) {
        variance = Math.min(most, variance + added);
    }
}
