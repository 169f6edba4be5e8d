package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.WeakHashMap;

import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;

/**
 * Predicts run times. Progress that was seen is split into the worker's speed and the error of the caller's estimate:
 * tasks of one job share the error, jobs of one queue err alike, and tasks on one worker share the speed. Not
 * thread-safe.
 */
final class Forecast {

    /** Share of a surprise that is put down to the worker; ten observations settle a speed. */
    private static final double SPEED_STEP = 0.15;

    /** Share of a surprise that is put down to the job's estimate; two or three observations settle it. */
    private static final double ESTIMATE_STEP = 0.4;

    /** Share of a surprise that is put down to all jobs of the queue. */
    private static final double QUEUE_STEP = 0.1;

    /** Bound of a believable surprise, as a natural logarithm: a factor of about ten. */
    private static final double MAX_SURPRISE = 2.3;

    private static final double PERCENT = 100;

    private final Map<JobState, Double> estimateErrors = new WeakHashMap<>();
    private final Map<String, Double> queueErrors = new HashMap<>();

    /**
     * Learns from progress.
     *
     * @param job the job
     * @param worker the worker
     * @param observed estimated time that was worked off, for each unit of time that passed
     */
    void observe(JobState job, WorkerState worker, double observed) {
        double error = error(job);
        double surprise = Math.log(Math.max(1e-3, observed)) - worker.health.logSpeed() - error;
        double bounded = Math.max(-MAX_SURPRISE, Math.min(MAX_SURPRISE, surprise));
        worker.health.adjustLogSpeed(SPEED_STEP * bounded);
        estimateErrors.put(job, error + ESTIMATE_STEP * bounded);
        queueErrors.merge(job.submission().queue(), QUEUE_STEP * bounded, Double::sum);
    }

    Map<String, Double> queueErrors() {
        return queueErrors;
    }

    /** Takes over what an earlier owner learned of the queues. */
    void restore(Map<String, Double> learned) {
        queueErrors.putAll(learned);
    }

    /** Gives the expected run time in ms of a task of the step on a worker. */
    double runMs(JobState job, StepSpec step, WorkerState worker, double remoteFactor) {
        boolean remote = step.dataRack()
                .filter(rack -> !rack.equals(worker.entry.rack()))
                .isPresent();
        return step.estimatedMs() * (remote ? remoteFactor : 1) / worker.health.speed() * correction(job);
    }

    /** Gives the expected time in ms until a run ends; that of a gang's member counts its own part alone. */
    double remainingMs(ActiveRun run, double remoteFactor, long nowMs) {
        double wholeMs = runMs(run.job, run.step(), run.worker, remoteFactor);
        if (run.percent < 0) {
            return wholeMs;
        }
        return wholeMs * (PERCENT - run.percent) / PERCENT - (nowMs - run.percentMs);
    }

    /** Gives the factor by which the job's estimates are too long or too short. */
    double correction(JobState job) {
        return Math.exp(-error(job));
    }

    private double error(JobState job) {
        Double known = estimateErrors.get(job);
        return known != null ? known : queueErrors.getOrDefault(job.submission().queue(), 0.0);
    }
}
