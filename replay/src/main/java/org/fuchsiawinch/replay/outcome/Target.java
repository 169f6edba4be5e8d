package org.fuchsiawinch.replay.outcome;

import java.util.List;

import org.fuchsiawinch.replay.measure.LowerBounds;
import org.fuchsiawinch.replay.measure.Measures;

/**
 * Upper limit of a measure.
 *
 * @param measure the measure
 * @param reference what the limit is relative to
 * @param atMost factor applied to the reference value, or the limit itself if there is none
 */
public record Target(Measure measure, Reference reference, double atMost) {

    /**
     * Compares a replay with the target.
     *
     * @param measures measures of the policy under test
     * @param baselines measures of the baselines on the same trace
     * @param bounds values that no schedule of the trace can go below
     * @return measured value, limit and lower bound
     */
    public Verdict evaluate(Measures measures, List<Measures> baselines, LowerBounds bounds) {
        double value = measure.of(measures);
        double bound = measure.boundOf(bounds);
        if (reference == Reference.NONE) {
            return new Verdict(this, value, atMost, bound);
        }
        double best = baselines.stream().mapToDouble(measure::of).min().orElse(Double.POSITIVE_INFINITY);
        return new Verdict(this, value, best * atMost, bound);
    }

    /**
     * Result of comparing a replay with a target.
     *
     * @param target the target
     * @param value the measured value
     * @param limit the highest value that meets the target
     * @param bound value that no schedule of the trace can go below
     */
    public record Verdict(Target target, double value, double limit, double bound) {

        /**
         * Returns whether no schedule could meet the target.
         *
         * @return true if the limit is below the bound
         */
        public boolean outOfReach() {
            return limit < bound;
        }

        /**
         * Returns whether the target is met.
         *
         * @return true if the value is at most the limit
         */
        public boolean met() {
            return value <= limit;
        }
    }
}
