package org.fuchsiawinch.model;

/**
 * Weights of the two measures; only their ratio matters.
 *
 * @param completionWeight weight of completion time, not negative
 * @param fragmentationWeight weight of fragmentation, not negative
 */
public record Objective(double completionWeight, double fragmentationWeight) {

    /**
     * Gives fragmentation's part of the sum of both weights.
     *
     * @return between 0 and 1
     */
    public double fragmentationShare() {
        double sum = completionWeight + fragmentationWeight;
        return sum == 0 ? 0 : fragmentationWeight / sum;
    }
}
