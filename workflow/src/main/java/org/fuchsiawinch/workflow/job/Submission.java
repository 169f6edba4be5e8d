package org.fuchsiawinch.workflow.job;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkspaceId;

/**
 * A job as accepted, with the rules of its queue at that time. The record codec writes the components in order of
 * declaration.
 *
 * @param id job id, chosen by the caller
 * @param queue name of the queue
 * @param service service whose workers run the tasks
 * @param workspace workspace that the job is charged to
 * @param rules rules of the queue at acceptance
 * @param acceptedAtMs wall-clock time of acceptance in ms since the Unix epoch
 * @param payload text that is passed to each task at its start
 * @param steps the steps, each after those that it depends on
 */
public record Submission(
        String id,
        String queue,
        String service,
        WorkspaceId workspace,
        QueueRules rules,
        long acceptedAtMs,
        String payload,
        List<StepSpec> steps) {

    /**
     * Copies the list of steps.
     */
    public Submission {
        steps = List.copyOf(steps);
    }

    /**
     * Scheduling rules of a queue. A job's completion objective is its critical path times {@code slackFactor}, plus
     * {@code targetMs}.
     *
     * @param priority 0 is the most urgent; only jobs of priority 0 may use the workspace's guarantee
     * @param maxAttempts number of failed runs of a task after which its job fails
     * @param slackFactor multiple of the critical path in the completion objective
     * @param targetMs fixed part of the completion objective in ms
     */
    public record QueueRules(int priority, int maxAttempts, double slackFactor, long targetMs) {}

    /** Largest number of tasks of a job: the progress of all of them has to fit into one record of the store. */
    public static final int MAX_TASKS = 5000;

    /** Largest amount of a resource that a task may need; the sum of two amounts still fits into 32 bits. */
    public static final int MAX_AMOUNT = 1_000_000_000;

    /** Longest estimate of a run time in ms: a hundred days. */
    public static final long MAX_ESTIMATE_MS = 100L * 24 * 3600 * 1000;

    /**
     * Checks that the job can be scheduled at all.
     *
     * @return what is wrong with the first invalid step or rule; empty if nothing is
     */
    public Optional<String> problem() {
        if (!Double.isFinite(rules.slackFactor()) || rules.slackFactor() < 0) {
            return Optional.of("slack factor: " + rules.slackFactor());
        }
        if (rules.priority() < 0 || rules.targetMs() < 0) {
            return Optional.of("priority or target: negative");
        }
        return stepsProblem(steps);
    }

    /**
     * Checks the steps of a job.
     *
     * @param steps the steps
     * @return what is wrong with the first invalid step; empty if nothing is
     */
    public static Optional<String> stepsProblem(List<StepSpec> steps) {
        if (steps.isEmpty()) {
            return Optional.of("steps: none");
        }
        long tasks = 0;
        for (int step = 0; step < steps.size(); step++) {
            Optional<String> problem = problem(steps.get(step), step);
            if (problem.isPresent()) {
                return Optional.of("steps[" + step + "]." + problem.get());
            }
            tasks += steps.get(step).count();
        }
        return tasks > MAX_TASKS ? Optional.of("steps: more than " + MAX_TASKS + " tasks") : Optional.empty();
    }

    private static Optional<String> problem(StepSpec spec, int step) {
        if (spec.count() < 1 || spec.count() > MAX_TASKS) {
            return Optional.of("count: not from 1 to " + MAX_TASKS + ": " + spec.count());
        }
        if (spec.estimatedMs() < 0 || spec.estimatedMs() > MAX_ESTIMATE_MS) {
            return Optional.of("estimate: not from 0 to " + MAX_ESTIMATE_MS + " ms: " + spec.estimatedMs());
        }
        if (!validAmounts(spec.perTask())) {
            return Optional.of("resources: not from 0 to " + MAX_AMOUNT + ": " + spec.perTask());
        }
        return spec.after().stream()
                .filter(dependency -> dependency < 0 || dependency >= step)
                .findFirst()
                .map(dependency -> "after: no earlier step: " + dependency);
    }

    /**
     * Returns whether no amount is negative or above {@link #MAX_AMOUNT}.
     *
     * @param amounts the amounts of each resource
     * @return true if they can be added up
     */
    public static boolean validAmounts(Resources amounts) {
        return Resources.NONE.fitsIn(amounts)
                && amounts.fitsIn(new Resources(MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT));
    }

    /**
     * Returns the largest number of accelerators that one step of the job uses concurrently.
     *
     * @return number of accelerators
     */
    public long peakAccelerators() {
        return steps.stream()
                .mapToLong(step -> (long) step.count() * step.perTask().accelerators())
                .max()
                .orElse(0);
    }

    /**
     * Returns the critical path of the job: the longest chain of estimated run times through its steps.
     *
     * @return time in ms
     */
    public long criticalPathMs() {
        long longestMs = 0;
        long[] afterMs = criticalPathsAfterMs();
        for (int step = 0; step < steps.size(); step++) {
            longestMs = Math.max(longestMs, steps.get(step).estimatedMs() + afterMs[step]);
        }
        return longestMs;
    }

    /**
     * Returns the critical path from the end of each step to the end of the job.
     *
     * @return time in ms by step; 0 if no step depends on it
     */
    public long[] criticalPathsAfterMs() {
        long[] afterMs = new long[steps.size()];
        for (int step = steps.size() - 1; step >= 0; step--) {
            long fromStartMs = steps.get(step).estimatedMs() + afterMs[step];
            for (int dependency : steps.get(step).after()) {
                afterMs[dependency] = Math.max(afterMs[dependency], fromStartMs);
            }
        }
        return afterMs;
    }
}
