package org.fuchsiawinch.workflow.forecast;

import java.util.Map;
import java.util.TreeMap;

/**
 * Distribution of the logarithm of run-time ratios, from runs that have completed and runs that were ended early. Of
 * the latter only a lower bound is known; they count as the product-limit estimator of Kaplan and Meier has it. Old
 * runs fade as new ones are added. Not thread-safe.
 */
final class RunTimeDistribution {

    /** Lower end of the first bin: ratios from 0.1 to 16. */
    private static final double MIN_LOG = Math.log(0.1);

    /** Width of a bin; a tenth of a ratio, far below the error of a caller's estimate. */
    private static final double BIN_WIDTH = 0.1;

    static final int BINS = 51;

    /** Total weight at which all weights are halved, so that the last few hundred runs decide. */
    private static final float MAX_WEIGHT = 256;

    /** Units of a run's weight in which weights are stored. */
    private static final float STORED_UNITS = 4;

    private static final double MEDIAN = 0.5;

    private static final double TAIL = 0.95;

    private final float[] completed = new float[BINS];
    private final float[] endedEarly = new float[BINS];
    private RunTimeForecast forecast;

    /**
     * Adds a run.
     *
     * @param logRatio logarithm of the ratio; of a run that was ended early a lower bound
     * @param complete whether the run has completed
     */
    void add(double logRatio, boolean complete) {
        int bin = (int) Math.floor((logRatio - MIN_LOG) / BIN_WIDTH);
        float[] weights = complete ? completed : endedEarly;
        weights[Math.max(0, Math.min(BINS - 1, bin))]++;
        if (weight(completed) + weight(endedEarly) > MAX_WEIGHT) {
            halve(completed);
            halve(endedEarly);
        }
        forecast = null;
    }

    /** Returns the weight of the runs that have completed. */
    double observations() {
        return weight(completed);
    }

    RunTimeForecast forecast() {
        if (forecast == null) {
            forecast = new RunTimeForecast(quantile(MEDIAN), quantile(TAIL), observations());
        }
        return forecast;
    }

    /**
     * Returns a quantile of the logarithm of the ratio, interpolated within its bin. If too many runs were ended early
     * to tell, the end of the last bin in which one has completed.
     */
    private double quantile(double probability) {
        double atRisk = weight(completed) + weight(endedEarly);
        double survival = 1;
        double known = MIN_LOG;
        for (int bin = 0; bin < BINS && atRisk > 0; bin++) {
            double next = survival * (1 - completed[bin] / atRisk);
            if (next < survival) {
                double binStart = MIN_LOG + bin * BIN_WIDTH;
                if (next <= 1 - probability) {
                    return binStart + BIN_WIDTH * (survival - (1 - probability)) / (survival - next);
                }
                known = binStart + BIN_WIDTH;
            }
            survival = next;
            atRisk -= completed[bin] + endedEarly[bin];
        }
        return known;
    }

    /** Returns the weights by bin, in quarters of a run; bins of runs that were ended early count from -1 downwards. */
    Map<Integer, Integer> weights() {
        Map<Integer, Integer> weights = new TreeMap<>();
        for (int bin = 0; bin < BINS; bin++) {
            weights.put(bin, Math.round(completed[bin] * STORED_UNITS));
            weights.put(-1 - bin, Math.round(endedEarly[bin] * STORED_UNITS));
        }
        weights.values().removeIf(weight -> weight == 0);
        return weights;
    }

    /** Replaces the weights; bins out of range and weights that cannot be are ignored. */
    void restore(Map<Integer, Integer> weights) {
        weights.forEach((index, weight) -> {
            int bin = index < 0 ? -1 - index : index;
            if (bin >= 0 && bin < BINS && weight > 0 && weight <= MAX_WEIGHT * STORED_UNITS) {
                (index < 0 ? endedEarly : completed)[bin] = weight / STORED_UNITS;
            }
        });
        forecast = null;
    }

    private static float weight(float[] weights) {
        float sum = 0;
        for (float weight : weights) {
            sum += weight;
        }
        return sum;
    }

    private static void halve(float[] weights) {
        for (int bin = 0; bin < BINS; bin++) {
            weights[bin] /= 2;
        }
    }
}
