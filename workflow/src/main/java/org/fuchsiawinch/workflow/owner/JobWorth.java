package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;

/**
 * Estimates what a job is worth to its caller, for the order of work. A job pays a fixed part and a part that grows
 * with its size against the mean of its queue; it pays in full within its objective, less up to three times that, and
 * nothing afterwards. Not thread-safe.
 */
final class JobWorth {

    /** Part of a job's worth that does not depend on its size, as the users state. */
    private static final double FIXED_SHARE = 0.3;

    /** Most times the mean worth that one large job counts, as the users state. */
    private static final double MAX_FACTOR = 4;

    /** Cores that one accelerator counts as, as the users state. */
    private static final double CORES_PER_ACCELERATOR = 8;

    /** Multiple of the objective up to which a late job still pays, as the users state. */
    private static final double LATE_FACTOR = 3;

    /** Share of a job's worth that is lost when it is late, as the mean of the users' sheets. */
    private static final double LATE_LOSS = 0.75;

    /** Worth by priority, as the ratio of the users' sheets; lower priorities count as the last. */
    private static final double[] WORTH_BY_PRIORITY = {4, 3, 1};

    /** Weight of a newer job in the mean size of its queue. */
    private static final double MEAN_WEIGHT = 0.1;

    private static final double EVEN_CHANCE = 0.5;

    /** Makes a logistic curve close to the normal distribution's. */
    private static final double LOGISTIC_SCALE = 1.7;

    private static final double MS_PER_S = 1000;
    private static final double MILLIS_PER_CORE = 1000;

    private final Map<String, Double> meanWork = new HashMap<>();

    /** How a job stands against its objective. */
    enum Standing {
        /** Can still be done in time. */
        IN_TIME,
        /** Can still be done while it pays something. */
        LATE,
        /** Pays nothing any more; still has to be done. */
        HOPELESS
    }

    void accepted(Submission job) {
        double work = work(job);
        meanWork.merge(job.queue(), work, (mean, added) -> mean + MEAN_WEIGHT * (added - mean));
    }

    /** Gives the core-seconds of a job, accelerators included. */
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

    /** Gives what the job is worth if it is in time, in the unit of the users' sheets. */
    double inTime(Submission job) {
        double work = Math.max(1e-3, work(job));
        double mean = Math.max(1e-3, meanWork.getOrDefault(job.queue(), work));
        int rank = Math.min(job.rules().priority(), WORTH_BY_PRIORITY.length - 1);
        double factor = Math.min(MAX_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * work / mean);
        return WORTH_BY_PRIORITY[rank] * factor;
    }

    /**
     * A forecast of how a job goes on.
     *
     * @param startAgeMs age of the job at the next start, in ms
     * @param leftMs time from then until its last task ends, as forecast, in ms
     * @param chainMs longest chain of run times, as forecast, in ms
     * @param deviation deviation of true run times from forecasts, as a natural logarithm
     */
    record Prospect(double startAgeMs, double leftMs, double chainMs, double deviation) {

        Prospect later(double delayMs) {
            return new Prospect(startAgeMs + delayMs, leftMs, chainMs, deviation);
        }

        Prospect withLeft(double newLeftMs) {
            return new Prospect(startAgeMs, newLeftMs, chainMs, deviation);
        }
    }

    /** Gives what a job is worth on average over what its run times may turn out to be. */
    double expected(Submission job, Prospect prospect) {
        double inTime = chance(job.rules(), prospect, 1);
        double paid = chance(job.rules(), prospect, LATE_FACTOR);
        return inTime(job) * (inTime + (1 - LATE_LOSS) * Math.max(0, paid - inTime));
    }

    /**
     * Gives the chance that a job ends within a multiple of its objective. Objective and rest of the job grow alike
     * with the true run time, the time that has passed does not.
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
