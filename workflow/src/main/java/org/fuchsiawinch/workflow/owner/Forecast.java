package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.WeakHashMap;

import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;

/**
 * Predicts run times from the callers' estimates. Attributes observed progress to the worker's speed and to the error
 * of the caller's estimate: tasks of a job share one error, whose prior mean is the error of the queue, and tasks on a
 * worker share its speed. Errors and speeds are kept as natural logarithms. Not thread-safe.
 */
final class Forecast {

    /** Prior variance of the log estimate error of a job; callers' estimates are off by about a third. */
    private static final double ERROR_VARIANCE = 0.12;

    /** Prior variance of the mean log estimate error of a queue. */
    private static final double QUEUE_VARIANCE = 0.04;

    /** Variance of the log run time of a task around the mean of its job. */
    private static final double TASK_VARIANCE = 0.06;

    /** Standard deviation of the log ratio of actual to predicted run time; the users' estimates are off by half. */
    private static final double DEVIATION = 0.4;

    /** Maximum absolute innovation that is used for an update: a factor of about ten. */
    private static final double MAX_SURPRISE = 2.3;

    private static final double PERCENT = 100;

    private final Map<JobState, Belief> estimateErrors = new WeakHashMap<>();
    private final Map<String, Belief> queueErrors = new HashMap<>();

    /**
     * Updates the estimates from the observed progress of a run.
     *
     * @param job the job
     * @param worker the worker
     * @param observed rate of progress: estimated run time completed per unit of elapsed time
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

    /** Restores the estimate errors of queues that an earlier owner learned. */
    void restore(Map<String, Double> learned) {
        learned.forEach((queue, error) -> queueErrors.put(queue, new Belief(error, QUEUE_VARIANCE)));
    }

    /** Returns the expected run time in ms of a task of the step on a worker. */
    double runMs(JobState job, StepSpec step, WorkerState worker, double remoteFactor) {
        boolean remote = step.dataRack()
                .filter(rack -> !rack.equals(worker.registration.rack()))
                .isPresent();
        return step.estimatedMs() * (remote ? remoteFactor : 1) / worker.health.speed() * correction(job);
    }

    /** Returns the expected run time in ms of a task of the step on a worker of speed 1 in the rack of its data. */
    double meanMs(JobState job, StepSpec step) {
        return step.estimatedMs() * correction(job);
    }

    /** Returns the share of its own work that a run has done, extrapolated from a report that is up to 1 s old. */
    double doneShare(ActiveRun run, double remoteFactor, long nowMs) {
        if (run.stage != ActiveRun.Stage.RUNNING) {
            return 0;
        }
        double reported = Math.max(0, run.percent) / PERCENT;
        double since = (nowMs - run.percentMs) / runMs(run.job, run.step(), run.worker, remoteFactor);
        return Math.min(1, reported + since);
    }

    /** Returns the expected time in ms until a run has done its own work, without a gang member's wait for others. */
    double remainingMs(ActiveRun run, double remoteFactor, long nowMs) {
        double wholeMs = runMs(run.job, run.step(), run.worker, remoteFactor);
        if (run.stage != ActiveRun.Stage.RUNNING) {
            return wholeMs;
        }
        return wholeMs * (PERCENT - Math.max(0, run.percent)) / PERCENT - (nowMs - run.percentMs);
    }

    /** Returns the completion forecast of a job if a unit of the step starts at the given job age and run time. */
    JobWorth.Prospect prospect(JobState job, int step, double startAgeMs, double runMs) {
        Submission submission = job.submission();
        double correction = correction(job);
        return new JobWorth.Prospect(
                startAgeMs,
                runMs + submission.chainAfterMs(step) * correction,
                submission.criticalPathMs() * correction,
                DEVIATION);
    }

    /** Returns the factor that corrects the run-time estimates of the job. */
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
