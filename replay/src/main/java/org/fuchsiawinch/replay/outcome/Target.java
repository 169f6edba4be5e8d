package org.fuchsiawinch.replay.outcome;

import java.util.List;

import org.fuchsiawinch.replay.measure.LowerBounds;
import org.fuchsiawinch.replay.measure.Measures;

/**
 * Highest value that a measure may have.
 *
 * @param measure the measure
 * @param reference what the limit is relative to
 * @param atMost factor of the reference, or the value itself without one
 */
public record Target(Measure measure, Reference reference, double atMost) {

    /**
     * Compares a replay with the target.
     *
     * @param ours figures of the policy at issue
     * @param baselines figures of the baselines on the same trace
     * @param bounds values that no schedule of the trace can go below
     * @return value, limit and bound
     */
    public Verdict evaluate(Measures ours, List<Measures> baselines, LowerBounds bounds) {
        double value = measure.of(ours);
        double bound = measure.boundOf(bounds);
        if (reference == Reference.NONE) {
            return new Verdict(this, value, atMost, bound);
        }
        double best = baselines.stream().mapToDouble(measure::of).min().orElse(Double.POSITIVE_INFINITY);
        return new Verdict(this, value, best * atMost, bound);
    }

    /**
     * A target beside what was measured.
     *
     * @param target the target
     * @param value the value that was measured
     * @param limit the highest value that meets the target
     * @param bound value that no schedule of the trace can go below
     */
    public record Verdict(Target target, double value, double limit, double bound) {

        /**
         * Tells whether no schedule could meet the target.
         *
         * @return true if the limit is below the bound
         */
        public boolean outOfReach() {
            return limit < bound;
        }

        /**
         * Tells whether the target is met.
         *
         * @return true if the value isn't above the limit
         */
        public boolean met() {
            return value <= limit;
        }
    }
}
