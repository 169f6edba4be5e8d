package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.Objective;
import org.fuchsiawinch.model.Policy;

/** Queues jobs in the order that the objective asks for and tracks their deadlines. Not thread-safe. */
final class Waiting {

    private static final double RUN_TIMES_OF_DELAY = 4.0;

    private final State state;
    private final TreeSet<Job> byDeadline =
            new TreeSet<>(Comparator.comparingLong(Waiting::deadlineMs).thenComparingLong(Job::sequence));

    Waiting(State state) {
        this.state = state;
    }

    /** Queues a job; one that was started before keeps its place in the order. */
    void add(Job job) {
        if (!job.mayHaveRun()) {
            job.orderKey(orderKey(job));
        }
        if (job.spec().deadlineMs().isPresent()) {
            byDeadline.add(job);
        }
        if (!job.failedOn().isEmpty()) {
            job.avoidsFailures(state.pool.couldHoldNow(job.spec().shape(), job.failedOn()));
        }
        state.queue.add(job, state.classKey(job));
    }

    /** Stops tracking the deadline of a job that no longer waits. */
    void left(Job job) {
        if (job.spec().deadlineMs().isPresent()) {
            byDeadline.remove(job);
        }
    }

    /** Returns the waiting jobs whose deadline has passed, the earliest deadline first. */
    List<Job> expired() {
        List<Job> expired = new ArrayList<>();
        for (Job job : byDeadline) {
            if (deadlineMs(job) > state.nowMs()) {
                break;
            }
            expired.add(job);
        }
        return expired;
    }

    /**
     * Returns the submission time plus a delay proportional to the estimated run time. A short job therefore overtakes
     * long ones that were submitted shortly before it, but none that was submitted earlier by more than the difference
     * of the delays. The delay is divided by the accelerators, so that large gangs are overtaken less.
     */
    private long orderKey(Job job) {
        if (!state.has(SchedulerFeature.OBJECTIVE)) {
            return job.submittedMs();
        }
        double completionShare = 1
                - state.policy()
                        .map(Policy::objective)
                        .orElse(new Objective(0, 1))
                        .fragmentationShare();
        long runMs = state.estimator.estimate(job, 1.0).runMs();
        int accelerators = Math.max(1, job.accelerators());
        return job.submittedMs() + (long) (RUN_TIMES_OF_DELAY * completionShare * runMs / accelerators);
    }

    private static long deadlineMs(Job job) {
        return job.spec().deadlineMs().orElse(Long.MAX_VALUE);
    }
}
