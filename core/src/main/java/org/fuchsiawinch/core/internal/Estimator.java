package org.fuchsiawinch.core.internal;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.core.SchedulerFeatures;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.WorkspaceId;

/**
 * Corrects declared run times and memory by a quantile of the ratios of observed to declared values for the same
 * workspace and kind of job. Keeps a bounded window of ratios for each kind and evicts the least recently used kinds
 * beyond a limit. Not thread-safe.
 */
final class Estimator {

    private static final int WINDOW_SAMPLES = 64;
    private static final int MAX_KINDS = 4096;
    private static final double MEMORY_FACTOR_STEPS = 8;
    /** Share of the corrected run time that a resumed job is expected to need at least. */
    private static final double MIN_REMAINING_SHARE = 0.05;

    private final boolean enabled;
    private final Map<Kind, History> histories = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Kind, History> eldest) {
            return size() > MAX_KINDS;
        }
    };
    private EstimatePolicy policy = new EstimatePolicy(0.5, Integer.MAX_VALUE, 1, 1, 0, 0);

    Estimator(SchedulerFeatures features) {
        this.enabled = features.has(SchedulerFeature.CORRECTION);
    }

    void policy(EstimatePolicy newPolicy) {
        policy = newPolicy;
        histories.values().forEach(History::forgetFactors);
    }

    /** Returns the corrected run time divided by the declared one; 1.0 with too few samples. */
    double runFactor(JobSpec spec) {
        History history = history(spec);
        return history == null ? 1.0 : history.runs.factor(policy);
    }

    /**
     * Returns the corrected memory of a part in MiB, never below the declared one. The factor is rounded up to a
     * multiple of 1/8.
     */
    int memoryMb(JobSpec spec) {
        int declared = spec.shape().perPart().memoryMb();
        History history = history(spec);
        if (history == null) {
            return declared;
        }
        double factor = Math.ceil(history.memory.factor(policy) * MEMORY_FACTOR_STEPS) / MEMORY_FACTOR_STEPS;
        return (int) Math.ceil(declared * Math.max(1.0, factor));
    }

    /**
     * Returns the corrected run time that a job still needs on workers of the given speed, without the work saved by
     * checkpoints. The worst case is the longest run that the policy tolerates; if the policy bounds none, it is the
     * declared run time times the largest correction factor or, if longer, the estimate.
     */
    RunEstimate estimate(Job job, double speed) {
        double factor = runFactor(job.spec());
        double declared = job.spec().declaredRunMs();
        double whole = declared * factor;
        double left = Math.max(whole * MIN_REMAINING_SHARE, whole - job.savedWorkMs());
        double worst = policy.timeOverrunFactor() > 0
                ? Math.max(left, declared) * policy.timeOverrunFactor()
                : Math.max(left, declared * policy.maxFactor());
        return new RunEstimate((long) Math.ceil(left / speed), (long) Math.ceil(worst / speed), factor);
    }

    /**
     * Records the observed values of a job that completed or was stopped for an overrun.
     *
     * @param spec the job
     * @param workMs work in ms on a worker of speed 1.0; 0 if unknown
     * @param peakMemoryMb peak memory of a part in MiB; 0 if unknown
     */
    void record(JobSpec spec, double workMs, int peakMemoryMb) {
        if (!enabled) {
            return;
        }
        History history = histories.computeIfAbsent(new Kind(spec.workspace(), spec.kind()), key -> new History());
        if (spec.declaredRunMs() > 0 && workMs > 0) {
            history.runs.add((float) (workMs / spec.declaredRunMs()));
        }
        int declaredMb = spec.shape().perPart().memoryMb();
        if (declaredMb > 0 && peakMemoryMb > 0) {
            history.memory.add((float) peakMemoryMb / declaredMb);
        }
    }

    private History history(JobSpec spec) {
        return enabled ? histories.get(new Kind(spec.workspace(), spec.kind())) : null;
    }

    private record Kind(WorkspaceId workspace, String name) {}

    private static final class History {
        private final Ratios runs = new Ratios();
        private final Ratios memory = new Ratios();

        private void forgetFactors() {
            runs.factor = Double.NaN;
            memory.factor = Double.NaN;
        }
    }

    /** Ring buffer of the latest ratios of observed to declared values. */
    private static final class Ratios {
        private float[] values = new float[4];
        private int count;
        private int next;
        private double factor = Double.NaN;

        private void add(float ratio) {
            if (count == values.length && count < WINDOW_SAMPLES) {
                values = Arrays.copyOf(values, Math.min(WINDOW_SAMPLES, count * 2));
                next = count;
            }
            values[next] = ratio;
            next = (next + 1) % values.length;
            count = Math.min(values.length, count + 1);
            factor = Double.NaN;
        }

        private double factor(EstimatePolicy policy) {
            if (Double.isNaN(factor)) {
                factor = compute(policy);
            }
            return factor;
        }

        private double compute(EstimatePolicy policy) {
            if (count < Math.max(1, policy.minSamples())) {
                return 1.0;
            }
            float[] sorted = Arrays.copyOf(values, count);
            Arrays.sort(sorted);
            int rank = (int) Math.ceil(policy.quantile() * count) - 1;
            double observed = sorted[Math.max(0, Math.min(count - 1, rank))];
            return Math.max(policy.minFactor(), Math.min(policy.maxFactor(), observed));
        }
    }
}
