package org.fuchsiawinch.replay.measure;

import java.util.Collection;

import org.HdrHistogram.Histogram;

/**
 * Summary of durations in ms; all components are 0 if there are no values.
 *
 * @param count number of values
 * @param meanMs mean
 * @param p50Ms median
 * @param p95Ms 95th percentile
 * @param p99Ms 99th percentile
 * @param maxMs highest value
 */
public record Distribution(long count, double meanMs, long p50Ms, long p95Ms, long p99Ms, long maxMs) {

    private static final int SIGNIFICANT_DIGITS = 4;

    /**
     * Summarizes values.
     *
     * @param valuesMs durations in ms, not negative
     * @return the summary; percentiles have four significant digits
     */
    public static Distribution of(Collection<Long> valuesMs) {
        if (valuesMs.isEmpty()) {
            return new Distribution(0, 0, 0, 0, 0, 0);
        }
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        long sum = 0;
        long max = 0;
        for (long value : valuesMs) {
            histogram.recordValue(value);
            sum += value;
            max = Math.max(max, value);
        }
        return new Distribution(
                valuesMs.size(),
                (double) sum / valuesMs.size(),
                Math.min(max, histogram.getValueAtPercentile(50)),
                Math.min(max, histogram.getValueAtPercentile(95)),
                Math.min(max, histogram.getValueAtPercentile(99)),
                max);
    }
}
