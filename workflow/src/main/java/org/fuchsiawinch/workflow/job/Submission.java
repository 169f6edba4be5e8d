package org.fuchsiawinch.workflow.job;

import java.util.List;

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

    /**
     * Returns the largest number of accelerators that one step of the job uses concurrently.
     *
     * @return number of accelerators
     */
    public int peakAccelerators() {
        return steps.stream()
                .mapToInt(step -> step.count() * step.perTask().accelerators())
                .max()
                .orElse(0);
    }

    /**
     * Returns the critical path of the job: the longest chain of estimated run times through its steps.
     *
     * @return time in ms
     */
    public long criticalPathMs() {
        long longest = 0;
        for (int step = 0; step < steps.size(); step++) {
            longest = Math.max(longest, criticalPathToMs(step));
        }
        return longest;
    }

    /**
     * Returns the critical path up to and including a step.
     *
     * @param step index of the step
     * @return time in ms
     */
    public long criticalPathToMs(int step) {
        long longestMs = 0;
        for (int dependency : steps.get(step).after()) {
            longestMs = Math.max(longestMs, criticalPathToMs(dependency));
        }
        return longestMs + steps.get(step).estimatedMs();
    }

    /**
     * Returns the critical path from the end of a step to the end of the job.
     *
     * @param step index of the step
     * @return time in ms; 0 if no step depends on this one
     */
    public long criticalPathAfterMs(int step) {
        long longestMs = 0;
        for (int next = step + 1; next < steps.size(); next++) {
            if (steps.get(next).after().contains(step)) {
                longestMs = Math.max(longestMs, steps.get(next).estimatedMs() + criticalPathAfterMs(next));
            }
        }
        return longestMs;
    }
}
