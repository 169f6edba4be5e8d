package org.fuchsiawinch.replay.outcome;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import org.fuchsiawinch.replay.measure.LowerBounds;
import org.fuchsiawinch.replay.measure.Measures;

/** Measures for which an outcome file can set targets; lower is better for all. */
public enum Measure {
    /** Mean completion time in ms. */
    COMPLETION_MEAN("completion-mean", measures -> measures.completionMs().meanMs(), LowerBounds::completionMeanMs),
    /** 95th percentile of completion time in ms. */
    COMPLETION_P95("completion-p95", measures -> measures.completionMs().p95Ms(), LowerBounds::completionP95Ms),
    /** Time average of fragmentation, a share. */
    FRAGMENTATION("fragmentation", Measures::fragmentation, bounds -> 0),
    /** Longest wait of the largest jobs in ms. */
    LARGEST_JOB_WAIT(
            "largest-job-wait", measures -> measures.largestJobWaitMs().maxMs(), LowerBounds::largestJobWaitMs),
    /** Highest guaranteed-start delay as a share of the reclaim bound. */
    GUARANTEED_START("guaranteed-start", Measures::guaranteedStartShareOfBound, bounds -> 0),
    /** Number of broken promises. */
    PROMISES_BROKEN("promises-broken", Measures::violationCount, bounds -> 0);

    private final String label;
    private final ToDoubleFunction<Measures> value;
    private final ToDoubleFunction<LowerBounds> bound;

    Measure(String label, ToDoubleFunction<Measures> value, ToDoubleFunction<LowerBounds> bound) {
        this.label = label;
        this.value = value;
        this.bound = bound;
    }

    /**
     * Returns the measure with the given label.
     *
     * @param label its name in an outcome file
     * @return the measure, or empty if there is none
     */
    public static Optional<Measure> byLabel(String label) {
        return Arrays.stream(values())
                .filter(measure -> measure.label.equals(label))
                .findFirst();
    }

    /**
     * Returns the name in an outcome file.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }

    /**
     * Returns the value of this measure in a replay.
     *
     * @param measures measures of the replay
     * @return the value
     */
    public double of(Measures measures) {
        return value.applyAsDouble(measures);
    }

    /**
     * Returns the value that no schedule can go below.
     *
     * @param bounds bounds of the trace
     * @return the bound; 0 where none is known
     */
    public double boundOf(LowerBounds bounds) {
        return bound.applyAsDouble(bounds);
    }
}
