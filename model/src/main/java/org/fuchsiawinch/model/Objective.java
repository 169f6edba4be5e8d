package org.fuchsiawinch.model;

/**
 * Weights of the two measures that the scheduler minimizes; only their ratio matters.
 *
 * @param completionWeight weight of completion time, not negative
 * @param fragmentationWeight weight of fragmentation, not negative
 */
public record Objective(double completionWeight, double fragmentationWeight) {

    /**
     * Returns the fragmentation weight as a share of the sum of both weights.
     *
     * @return share between 0 and 1; 0 if both weights are 0
     */
    public double fragmentationShare() {
        double sum = completionWeight + fragmentationWeight;
        return sum == 0 ? 0 : fragmentationWeight / sum;
    }
}
