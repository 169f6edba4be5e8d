package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.WeakHashMap;

import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;

/**
 * Predicts run times. Progress that was seen is split into the worker's speed and the error of the caller's estimate:
 * tasks of one job share the error, jobs of one queue err alike, and tasks on one worker share the speed. Not
 * thread-safe.
 */
final class Forecast {

    /** Variance of the logarithm of a job's estimate error before its tasks have run: estimates are off by a third. */
    private static final double ERROR_VARIANCE = 0.12;

    /** Variance of the logarithm of a queue's mean estimate error before its jobs have run. */
    private static final double QUEUE_VARIANCE = 0.04;

    /** Variance of the logarithm of one task's speed against the mean of its job. */
    private static final double TASK_VARIANCE = 0.06;

    /** Deviation of run times from their forecasts, as a natural logarithm: the users' estimates are off by half. */
    private static final double DEVIATION = 0.4;

    /** Bound of a believable surprise, as a natural logarithm: a factor of about ten. */
    private static final double MAX_SURPRISE = 2.3;

    private static final double PERCENT = 100;

    private final Map<JobState, Belief> estimateErrors = new WeakHashMap<>();
    private final Map<String, Belief> queueErrors = new HashMap<>();

    /**
     * Learns from progress.
     *
     * @param job the job
     * @param worker the worker
     * @param observed estimated time that was worked off, for each unit of time that passed
     */
    void observe(JobState job, WorkerState worker, double observed) {
        Belief speed = worker.health.logSpeed();
        Belief queue = queueErrors.computeIfAbsent(job.submission().queue(), name -> new Belief(0, QUEUE_VARIANCE));
        Belief error = estimateErrors.computeIfAbsent(job, added -> new Belief(queue.mean(), ERROR_VARIANCE));
        double surprise = Math.log(Math.max(1e-3, observed)) - speed.mean() - error.mean();
        double bounded = Math.max(-MAX_SURPRISE, Math.min(MAX_SURPRISE, surprise));
        double total = speed.variance() + error.variance() + queue.variance() + TASK_VARIANCE;
        queue.learn(bounded, total);
        worker.health.learnSpeed(bounded, total);
        error.learn(bounded, total);
    }

    Map<String, Double> queueErrors() {
        Map<String, Double> means = new HashMap<>();
        queueErrors.forEach((queue, error) -> means.put(queue, error.mean()));
        return means;
    }

    /** Takes over what an earlier owner learned of the queues. */
    void restore(Map<String, Double> learned) {
        learned.forEach((queue, error) -> queueErrors.put(queue, new Belief(error, QUEUE_VARIANCE)));
    }

    /** Gives the expected run time in ms of a task of the step on a worker. */
    double runMs(JobState job, StepSpec step, WorkerState worker, double remoteFactor) {
        boolean remote = step.dataRack()
                .filter(rack -> !rack.equals(worker.registration.rack()))
                .isPresent();
        return step.estimatedMs() * (remote ? remoteFactor : 1) / worker.health.speed() * correction(job);
    }

    /** Gives the expected run time in ms of a task of the step on a worker of speed 1, near its data. */
    double meanMs(JobState job, StepSpec step) {
        return step.estimatedMs() * correction(job);
    }

    /** Gives the share of its own part that a run has done by now; reports of it are up to a second old. */
    double doneShare(ActiveRun run, double remoteFactor, long nowMs) {
        if (run.stage != ActiveRun.Stage.RUNNING) {
            return 0;
        }
        double reported = Math.max(0, run.percent) / PERCENT;
        double since = (nowMs - run.percentMs) / runMs(run.job, run.step(), run.worker, remoteFactor);
        return Math.min(1, reported + since);
    }

    /** Gives the expected time in ms until a run ends; that of a gang's member counts its own part alone. */
    double remainingMs(ActiveRun run, double remoteFactor, long nowMs) {
        double wholeMs = runMs(run.job, run.step(), run.worker, remoteFactor);
        if (run.stage != ActiveRun.Stage.RUNNING) {
            return wholeMs;
        }
        return wholeMs * (PERCENT - Math.max(0, run.percent)) / PERCENT - (nowMs - run.percentMs);
    }

    /** Gives how the job goes on if a unit of it starts at an age and runs for a time, as forecast. */
    JobWorth.Prospect prospect(JobState job, int step, double startAgeMs, double runMs) {
        Submission submission = job.submission();
        double correction = correction(job);
        return new JobWorth.Prospect(
                startAgeMs,
                runMs + submission.chainAfterMs(step) * correction,
                submission.criticalPathMs() * correction,
                DEVIATION);
    }

    /** Gives the factor by which the job's estimates are too long or too short. */
    double correction(JobState job) {
        return Math.exp(-error(job));
    }

    private double error(JobState job) {
        Belief known = estimateErrors.get(job);
        if (known != null) {
            return known.mean();
        }
        Belief queue = queueErrors.get(job.submission().queue());
        return queue == null ? 0 : queue.mean();
    }
}
