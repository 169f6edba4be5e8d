package org.fuchsiawinch.model;

/**
 * Rules for correcting declared run times and memory by observed values.
 *
 * @param quantile quantile of the ratios of observed to declared values that is used, between 0 and 1
 * @param minSamples minimum number of finished jobs of a kind before a correction applies
 * @param minFactor minimum correction factor
 * @param maxFactor maximum correction factor
 * @param timeOverrunFactor factor over the larger of declared and corrected run time at which an attempt is ended; 0
 *     for never
 * @param memoryOverrunFactor factor over the granted memory at which an attempt is ended
 */
public record EstimatePolicy(
        double quantile,
        int minSamples,
        double minFactor,
        double maxFactor,
        double timeOverrunFactor,
        double memoryOverrunFactor) {}
