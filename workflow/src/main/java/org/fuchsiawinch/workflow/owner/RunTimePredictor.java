package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.WeakHashMap;

import org.fuchsiawinch.workflow.forecast.RunKind;
import org.fuchsiawinch.workflow.forecast.RunTimeForecast;
import org.fuchsiawinch.workflow.forecast.RunTimeModel;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;

/**
 * Predicts run times from the callers' estimates, as corrected by runs that have ended ({@link RunTimeModel}).
 * Attributes observed progress to the worker's speed and to the error of the caller's estimate: tasks of a job share
 * one error, whose prior mean is that of the ended runs of its kind or else the error of the queue, and tasks on a
 * worker share its speed. Errors and speeds are kept as natural logarithms. Not thread-safe.
 */
final class RunTimePredictor {

    /** Prior variance of the log estimate error of a job; callers' estimates are off by about a third. */
    private static final double JOB_ERROR_VARIANCE = 0.12;

    /** Prior variance of the mean log estimate error of a queue. */
    private static final double QUEUE_ERROR_VARIANCE = 0.04;

    /** Variance of the log run time of a task around the mean of its job. */
    private static final double TASK_RUN_TIME_VARIANCE = 0.06;

    /**
     * Standard deviation of the log ratio of actual to predicted run time; callers' estimates are off by a factor of
     * about 1.5. The learned spread of a group is no substitute: it contains the differences between jobs, whose
     * objectives grow alike, and cost utility in the offline model.
     */
    private static final double LOG_RUN_TIME_DEVIATION = 0.4;

    /** Maximum absolute innovation that is used for an update, as a natural logarithm: a factor of about ten. */
    private static final double MAX_INNOVATION = 2.3;

    /**
     * Number of ended runs of a kind whose median counts by half. The median of a few runs is off by a fifth by chance,
     * which costs utility where the estimates are right.
     */
    private static final double HALF_WEIGHT_RUNS = 64;

    /** Number of ended runs after which the error of a job is looked up anew. */
    private static final long LEARNED_ERROR_RUNS = 16;

    private static final double PERCENT = 100;

    /** Errors by job; each pass asks for those of all jobs several times. */
    private final Map<JobState, JobError> jobErrors = new WeakHashMap<>();

    private final Map<String, GaussianEstimate> queueErrors = new HashMap<>();
    private final RunTimeModel model = new RunTimeModel();

    /** What is known of the log error of a job's estimates. */
    private static final class JobError {

        /** The error that the progress of the job's own runs shows; null before the first report. */
        private GaussianEstimate observed;

        /** The error that ended runs of its kind show; empty if too few are known. */
        private OptionalDouble learned = OptionalDouble.empty();

        /** Number of runs that the model had learned from when it was asked; negative if it was not asked yet. */
        private long learnedRuns = -1;
    }

    /**
     * Updates the estimates from the observed progress of a run.
     *
     * @param job the job
     * @param worker the worker
     * @param progressRate rate of progress: estimated run time completed per unit of elapsed time
     */
    void observe(JobState job, WorkerState worker, double progressRate) {
        GaussianEstimate speed = worker.health.logSpeed();
        GaussianEstimate queue = queueErrors.computeIfAbsent(
                job.submission().queue(), name -> new GaussianEstimate(0, QUEUE_ERROR_VARIANCE));
        JobError known = jobError(job);
        if (known.observed == null) {
            known.observed = new GaussianEstimate(priorError(job, known), JOB_ERROR_VARIANCE);
        }
        GaussianEstimate error = known.observed;
        double innovation = Math.log(Math.max(1e-3, progressRate)) - speed.mean() - error.mean();
        double boundedInnovation = Math.max(-MAX_INNOVATION, Math.min(MAX_INNOVATION, innovation));
        double innovationVariance = speed.variance() + error.variance() + queue.variance() + TASK_RUN_TIME_VARIANCE;
        queue.update(boundedInnovation, innovationVariance);
        worker.health.updateSpeed(boundedInnovation, innovationVariance);
        error.update(boundedInnovation, innovationVariance);
    }

    /** Returns the mean log estimate error by queue. */
    Map<String, Double> queueErrors() {
        Map<String, Double> means = new HashMap<>();
        queueErrors.forEach((queue, error) -> means.put(queue, error.mean()));
        return means;
    }

    /** Restores the estimate errors of queues that an earlier owner learned. */
    void restore(Map<String, Double> learned) {
        learned.forEach((queue, error) -> queueErrors.put(queue, new GaussianEstimate(error, QUEUE_ERROR_VARIANCE)));
    }

    /** Returns the expected run time in ms of a task of the step on a worker. */
    double runMs(JobState job, StepSpec step, WorkerState worker, double remoteFactor) {
        return runMs(step, worker, remoteFactor, correctionFactor(job));
    }

    /** Returns the expected run time in ms of a task of the step on a worker, with the correction factor of its job. */
    double runMs(StepSpec step, WorkerState worker, double remoteFactor, double correctionFactor) {
        boolean remote = step.dataRack()
                .filter(rack -> !rack.equals(worker.registration.rack()))
                .isPresent();
        return step.estimatedMs() * (remote ? remoteFactor : 1) / worker.health.speed() * correctionFactor;
    }

    /** Returns the expected run time in ms of a task of the step on a worker of speed 1 in the rack of its data. */
    double referenceRunMs(JobState job, StepSpec step) {
        return step.estimatedMs() * correctionFactor(job);
    }

    /** Returns the share of its own work that a run has done, extrapolated from a report that is up to 1 s old. */
    double completedShare(ActiveRun run, double remoteFactor, long nowMs) {
        if (run.stage != ActiveRun.Stage.RUNNING) {
            return 0;
        }
        double reported = Math.max(0, run.percent) / PERCENT;
        double sinceReport = (nowMs - run.percentChangedMs) / runMs(run.job, run.step(), run.worker, remoteFactor);
        return Math.min(1, reported + sinceReport);
    }

    /**
     * Returns the expected time in ms until a run has done its own work, without a gang member's wait for others;
     * negative if the run is overdue.
     */
    double remainingMs(ActiveRun run, double remoteFactor, long nowMs) {
        double totalMs = runMs(run.job, run.step(), run.worker, remoteFactor);
        if (run.stage != ActiveRun.Stage.RUNNING) {
            return totalMs;
        }
        return totalMs * (PERCENT - Math.max(0, run.percent)) / PERCENT - (nowMs - run.percentChangedMs);
    }

    /** Returns the completion forecast of a job if a unit of the step starts at the given job age and run time. */
    JobUtility.CompletionForecast completionForecast(JobState job, int step, double startAgeMs, double runMs) {
        double factor = correctionFactor(job);
        return new JobUtility.CompletionForecast(
                startAgeMs,
                runMs + job.criticalPathAfterMs(step) * factor,
                job.criticalPathMs() * factor,
                LOG_RUN_TIME_DEVIATION);
    }

    /** Returns the model that learns from ended runs. */
    RunTimeModel model() {
        return model;
    }

    /** Returns the kind of a run of the step. */
    static RunKind kind(JobState job, StepSpec step, boolean remote) {
        return new RunKind(
                job.submission().queue(),
                job.submission().workspace(),
                RunKind.shape(step.perTask().accelerators(), step.count(), step.gang()),
                remote);
    }

    /** Returns the factor that corrects the run-time estimates of the job. */
    double correctionFactor(JobState job) {
        return Math.exp(-error(job));
    }

    private double error(JobState job) {
        JobError known = jobError(job);
        return known.observed == null ? priorError(job, known) : known.observed.mean();
    }

    private JobError jobError(JobState job) {
        JobError known = jobErrors.get(job);
        if (known == null) {
            known = new JobError();
            jobErrors.put(job, known);
        }
        return known;
    }

    /**
     * Returns the expected log estimate error of a job none of whose runs has reported progress: that of the ended runs
     * of its kind, the nearer to none the fewer they are, or else that of its queue.
     */
    private double priorError(JobState job, JobError known) {
        if (known.learnedRuns < 0 || model.runs() - known.learnedRuns >= LEARNED_ERROR_RUNS) {
            Optional<RunTimeForecast> forecast =
                    model.forecast(kind(job, job.submission().steps().get(0), false));
            known.learned = forecast.map(learned -> OptionalDouble.of(
                            -learned.median() * learned.observations() / (learned.observations() + HALF_WEIGHT_RUNS)))
                    .orElse(OptionalDouble.empty());
            known.learnedRuns = model.runs();
        }
        if (known.learned.isPresent()) {
            return known.learned.getAsDouble();
        }
        GaussianEstimate queue = queueErrors.get(job.submission().queue());
        return queue == null ? 0 : queue.mean();
    }
}
