package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;
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

    /** Gives the worth for each core-second that the job takes. */
    double density(Submission job) {
        double work = Math.max(1e-3, work(job));
        double mean = Math.max(1e-3, meanWork.getOrDefault(job.queue(), work));
        int rank = Math.min(job.rules().priority(), WORTH_BY_PRIORITY.length - 1);
        double factor = Math.min(MAX_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * work / mean);
        return WORTH_BY_PRIORITY[rank] * factor / work;
    }

    /** Gives what the job's caller loses if the job is late instead of in time, in the unit of the users' sheets. */
    double lossIfLate(Submission job) {
        return LATE_LOSS * density(job) * Math.max(1e-3, work(job));
    }

    static long objectiveMs(Submission job) {
        return Math.round(job.rules().slackFactor() * job.criticalPathMs())
                + job.rules().targetMs();
    }

    static Standing standing(JobState job, long remainingMs, long ageMs) {
        long objectiveMs = objectiveMs(job.submission());
        if (ageMs + remainingMs <= objectiveMs) {
            return Standing.IN_TIME;
        }
        return ageMs + remainingMs <= LATE_FACTOR * objectiveMs ? Standing.LATE : Standing.HOPELESS;
    }
}
