package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;

/**
 * Utility of jobs to their callers, by which the scheduler orders and places them. Its unit is that in which the
 * users' data sheets state the utility of jobs. The utility of a job is the sum of a fixed part and a part proportional
 * to its size relative to the mean size in its queue, times a factor for its priority. A job yields its full utility
 * within its completion objective, a reduced one up to three times the objective, and none after that. Not thread-safe.
 */
final class JobUtility {

    /** Share of a job's utility that does not depend on its size, as the users state. */
    private static final double FIXED_SHARE = 0.3;

    /** Maximum utility of a large job as a multiple of the mean, as the users state. */
    private static final double MAX_SIZE_FACTOR = 4;

    /** Number of cores that one accelerator counts as, as the users state. */
    private static final double CORES_PER_ACCELERATOR = 8;

    /** Multiple of the objective up to which a late job has utility, as the users state. */
    private static final double LATE_FACTOR = 3;

    /** Share of the utility that a late job loses; the mean over the users' data sheets. */
    private static final double LATE_LOSS = 0.75;

    /** Relative utility by priority, from the users' data sheets; less urgent priorities use the last value. */
    private static final double[] UTILITY_BY_PRIORITY = {4, 3, 1};

    /** Weight of a new job in the exponential moving average of job sizes in its queue. */
    private static final double MEAN_WEIGHT = 0.1;

    private static final double EVEN_PROBABILITY = 0.5;

    /** Scale with which the logistic function approximates the normal distribution function. */
    private static final double LOGISTIC_SCALE = 1.7;

    private static final double MS_PER_S = 1000;
    private static final double MILLIS_PER_CORE = 1000;

    private final Map<String, Double> meanCoreSeconds = new HashMap<>();

    /** Predicted end of a job relative to its completion objective. */
    enum Standing {
        /** Likely to end within its objective. */
        IN_TIME,
        /** Likely to end late, while it still has a reduced utility. */
        LATE,
        /** Unlikely to have any utility left; still has to be completed. */
        HOPELESS
    }

    void updateMeanSize(Submission job) {
        double coreSeconds = coreSeconds(job);
        meanCoreSeconds.merge(job.queue(), coreSeconds, (mean, added) -> mean + MEAN_WEIGHT * (added - mean));
    }

    /** Returns the estimated work of a job in core-seconds, accelerators included. */
    static double coreSeconds(Submission job) {
        double coreSeconds = 0;
        for (StepSpec step : job.steps()) {
            coreSeconds += step.count() * coreSeconds(step.perTask(), step.estimatedMs());
        }
        return coreSeconds;
    }

    static double coreSeconds(Resources need, long runMs) {
        return (need.cpuMillis() / MILLIS_PER_CORE + CORES_PER_ACCELERATOR * need.accelerators()) * runMs / MS_PER_S;
    }

    /** Returns the utility of a job that ends within its objective. */
    double onTimeUtility(Submission job) {
        double coreSeconds = Math.max(1e-3, coreSeconds(job));
        double mean = Math.max(1e-3, meanCoreSeconds.getOrDefault(job.queue(), coreSeconds));
        int priority = Math.min(job.rules().priority(), UTILITY_BY_PRIORITY.length - 1);
        double sizeFactor = Math.min(MAX_SIZE_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * coreSeconds / mean);
        return UTILITY_BY_PRIORITY[priority] * sizeFactor;
    }

    /**
     * Forecast of a job's completion.
     *
     * @param startAgeMs age of the job at the next start, in ms
     * @param remainingMs predicted time from that start until the job's last task ends, in ms
     * @param criticalPathMs predicted critical path of the job, in ms
     * @param logDeviation standard deviation of the log ratio of actual to predicted run time
     */
    record CompletionForecast(double startAgeMs, double remainingMs, double criticalPathMs, double logDeviation) {

        CompletionForecast delayedBy(double delayMs) {
            return new CompletionForecast(startAgeMs + delayMs, remainingMs, criticalPathMs, logDeviation);
        }

        CompletionForecast withRemaining(double newRemainingMs) {
            return new CompletionForecast(startAgeMs, newRemainingMs, criticalPathMs, logDeviation);
        }
    }

    /** Returns the expected utility of a job over the distribution of its run times. */
    double expected(Submission job, CompletionForecast forecast) {
        double onTime = endProbability(job.rules(), forecast, 1);
        double beforeCutOff = endProbability(job.rules(), forecast, LATE_FACTOR);
        return onTimeUtility(job) * (onTime + (1 - LATE_LOSS) * Math.max(0, beforeCutOff - onTime));
    }

    /**
     * Returns the probability that a job ends within a multiple of its objective. Both the remaining time and the part
     * of the objective given by the critical path scale with the actual run times; the job's age and the fixed part of
     * the objective do not.
     */
    static double endProbability(Submission.QueueRules rules, CompletionForecast forecast, double objectiveMultiple) {
        double ageExcessMs = forecast.startAgeMs() - objectiveMultiple * rules.targetMs();
        double scaledMarginMs =
                objectiveMultiple * rules.slackFactor() * forecast.criticalPathMs() - forecast.remainingMs();
        if (ageExcessMs <= 0 && scaledMarginMs >= 0) {
            return 1;
        }
        if (ageExcessMs >= 0 && scaledMarginMs <= 0) {
            return 0;
        }
        double logDistance = Math.log(scaledMarginMs / ageExcessMs) / forecast.logDeviation();
        return 1 / (1 + Math.exp(-LOGISTIC_SCALE * (ageExcessMs > 0 ? logDistance : -logDistance)));
    }

    /** Returns the completion objective of a job in ms from its acceptance. */
    static long objectiveMs(JobState job) {
        Submission.QueueRules rules = job.submission().rules();
        return Math.round(rules.slackFactor() * job.criticalPathMs()) + rules.targetMs();
    }

    /** Returns the most likely standing of a job. */
    static Standing standing(Submission job, CompletionForecast forecast) {
        if (endProbability(job.rules(), forecast, 1) >= EVEN_PROBABILITY) {
            return Standing.IN_TIME;
        }
        return endProbability(job.rules(), forecast, LATE_FACTOR) >= EVEN_PROBABILITY
                ? Standing.LATE
                : Standing.HOPELESS;
    }
}
