package org.fuchsiawinch.workflow.job;

import java.util.List;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * A job as it was accepted, with the rules of its queue at that time.
 *
 * @param id the caller's id of the job
 * @param queue name of the queue
 * @param service service whose workers run the tasks
 * @param workspace workspace that pays
 * @param rules rules of the queue at acceptance
 * @param acceptedAtMs wall-clock time of acceptance in ms since the epoch
 * @param payload text that each task is started with
 * @param steps the steps, in order
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
     * Copies the list.
     */
    public Submission {
        steps = List.copyOf(steps);
    }

    /**
     * Rules of a queue that shape how its jobs are scheduled.
     *
     * @param priority 0 is the most urgent, and may use the workspace's guarantee
     * @param maxAttempts failed runs after which a task fails its job
     * @param slackFactor allowed completion time as a multiple of the longest chain of run times
     * @param targetMs time in ms that is allowed on top of it
     */
    public record QueueRules(int priority, int maxAttempts, double slackFactor, long targetMs) {}

    /**
     * Gives the most accelerators that one step of the job uses at once.
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
     * Gives the longest chain of estimated run times through the steps.
     *
     * @return time in ms
     */
    public long criticalPathMs() {
        long longest = 0;
        for (int step = 0; step < steps.size(); step++) {
            longest = Math.max(longest, chainMs(step));
        }
        return longest;
    }

    /**
     * Gives the longest chain of estimated run times that ends with a step.
     *
     * @param step index of the step
     * @return time in ms
     */
    public long chainMs(int step) {
        long beforeMs = 0;
        for (int before : steps.get(step).after()) {
            beforeMs = Math.max(beforeMs, chainMs(before));
        }
        return beforeMs + steps.get(step).estimatedMs();
    }

    /**
     * Gives the longest chain of estimated run times that begins when a step ends.
     *
     * @param step index of the step
     * @return time in ms
     */
    public long chainAfterMs(int step) {
        long longestMs = 0;
        for (int next = step + 1; next < steps.size(); next++) {
            if (steps.get(next).after().contains(step)) {
                longestMs = Math.max(longestMs, steps.get(next).estimatedMs() + chainAfterMs(next));
            }
        }
        return longestMs;
    }
}
