package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;

/**
 * Utility of jobs to their callers, which orders the work. The utility of a job is the sum of a fixed part and a part
 * proportional to its size relative to the mean size in its queue. A job yields its full utility within its completion
 * objective, a reduced one up to three times the objective, and none after that. Not thread-safe.
 */
final class JobWorth {

    /** Share of a job's utility that does not depend on its size, as the users state. */
    private static final double FIXED_SHARE = 0.3;

    /** Maximum utility of a large job as a multiple of the mean, as the users state. */
    private static final double MAX_FACTOR = 4;

    /** Number of cores that one accelerator counts as, as the users state. */
    private static final double CORES_PER_ACCELERATOR = 8;

    /** Multiple of the objective up to which a late job has utility, as the users state. */
    private static final double LATE_FACTOR = 3;

    /** Share of the utility that a late job loses; the mean over the users' sheets. */
    private static final double LATE_LOSS = 0.75;

    /** Relative utility by priority, from the users' sheets; less urgent priorities use the last value. */
    private static final double[] WORTH_BY_PRIORITY = {4, 3, 1};

    /** Weight of a new job in the exponential moving average of job sizes in its queue. */
    private static final double MEAN_WEIGHT = 0.1;

    private static final double EVEN_CHANCE = 0.5;

    /** Scale with which the logistic function approximates the normal distribution function. */
    private static final double LOGISTIC_SCALE = 1.7;

    private static final double MS_PER_S = 1000;
    private static final double MILLIS_PER_CORE = 1000;

    private final Map<String, Double> meanWork = new HashMap<>();

    /** Prospect of a job against its completion objective. */
    enum Standing {
        /** Likely to end within its objective. */
        IN_TIME,
        /** Likely to end late, while it still has a reduced utility. */
        LATE,
        /** Unlikely to have any utility left; still has to be completed. */
        HOPELESS
    }

    void accepted(Submission job) {
        double work = work(job);
        meanWork.merge(job.queue(), work, (mean, added) -> mean + MEAN_WEIGHT * (added - mean));
    }

    /** Returns the estimated work of a job in core-seconds, accelerators included. */
    static double work(Submission job) {
        double work = 0;
        for (StepSpec step : job.steps()) {
            work += step.count() * work(step.perTask(), step.estimatedMs());
        }
        return work;
    }

    static double work(Resources need, long runMs) {
        return (need.cpuMillis() / MILLIS_PER_CORE + CORES_PER_ACCELERATOR * need.accelerators()) * runMs / MS_PER_S;
    }

    /** Returns the utility of a job that ends within its objective, in the unit of the users' sheets. */
    double inTime(Submission job) {
        double work = Math.max(1e-3, work(job));
        double mean = Math.max(1e-3, meanWork.getOrDefault(job.queue(), work));
        int rank = Math.min(job.rules().priority(), WORTH_BY_PRIORITY.length - 1);
        double factor = Math.min(MAX_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * work / mean);
        return WORTH_BY_PRIORITY[rank] * factor;
    }

    /**
     * Forecast of a job's completion.
     *
     * @param startAgeMs age of the job at the next start, in ms
     * @param leftMs predicted time from that start until the job's last task ends, in ms
     * @param chainMs predicted critical path of the job, in ms
     * @param deviation standard deviation of the log ratio of actual to predicted run time
     */
    record Prospect(double startAgeMs, double leftMs, double chainMs, double deviation) {

        Prospect later(double delayMs) {
            return new Prospect(startAgeMs + delayMs, leftMs, chainMs, deviation);
        }

        Prospect withLeft(double newLeftMs) {
            return new Prospect(startAgeMs, newLeftMs, chainMs, deviation);
        }
    }

    /** Returns the expected utility of a job over the distribution of its run times. */
    double expected(Submission job, Prospect prospect) {
        double inTime = chance(job.rules(), prospect, 1);
        double paid = chance(job.rules(), prospect, LATE_FACTOR);
        return inTime(job) * (inTime + (1 - LATE_LOSS) * Math.max(0, paid - inTime));
    }

    /**
     * Returns the probability that a job ends within a multiple of its objective. Both the remaining time and the part
     * of the objective given by the critical path scale with the actual run times; the job's age and the fixed part of
     * the objective do not.
     */
    static double chance(Submission.QueueRules rules, Prospect prospect, double times) {
        double waitedMs = prospect.startAgeMs() - times * rules.targetMs();
        double marginMs = times * rules.slackFactor() * prospect.chainMs() - prospect.leftMs();
        if (waitedMs <= 0 && marginMs >= 0) {
            return 1;
        }
        if (waitedMs >= 0 && marginMs <= 0) {
            return 0;
        }
        double distance = Math.log(marginMs / waitedMs) / prospect.deviation();
        return 1 / (1 + Math.exp(-LOGISTIC_SCALE * (waitedMs > 0 ? distance : -distance)));
    }

    static long objectiveMs(Submission job) {
        return Math.round(job.rules().slackFactor() * job.criticalPathMs())
                + job.rules().targetMs();
    }

    static Standing standing(Submission job, Prospect prospect) {
        if (chance(job.rules(), prospect, 1) >= EVEN_CHANCE) {
            return Standing.IN_TIME;
        }
        return chance(job.rules(), prospect, LATE_FACTOR) >= EVEN_CHANCE ? Standing.LATE : Standing.HOPELESS;
    }
}
