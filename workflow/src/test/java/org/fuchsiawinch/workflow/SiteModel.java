package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.owner.Guarantees;

/**
 * Model of a users' site for the day simulation: its workers, its queues and the weights of a day's utility. Figures
 * are rounded from the users' data sheets; distributions are log-normal around the means.
 *
 * @param name name of the site
 * @param workers number of workers
 * @param rackSize number of workers per rack
 * @param capacity capacity of each worker
 * @param speeds worker speeds, drawn with equal probability
 * @param stopMs maximum time in ms that a stop takes
 * @param queues the queues
 * @param weights weights of the parts of a day's utility
 */
record SiteModel(
        String name,
        int workers,
        int rackSize,
        Resources capacity,
        List<Double> speeds,
        long stopMs,
        List<QueueLoad> queues,
        Weights weights) {

    /** Guaranteed accelerators by workspace, in descending order; the first ones also submit the most jobs. */
    private static final List<Integer> GUARANTEED = List.of(48, 40, 32, 32);

    /**
     * Weights of the parts of a day's utility.
     *
     * @param whole weight of the whole day
     * @param windows weight of its two worst windows
     * @param queue weight of its worst queue
     * @param workspaces weight of its worst workspaces, for which the model uses the share of the whole day
     */
    record Weights(double whole, double windows, double queue, double workspaces) {}

    /**
     * Load of a queue.
     *
     * @param name name of the queue
     * @param rules scheduling rules of the queue
     * @param jobsPerS arrival rate on an ordinary day, in jobs per second
     * @param utility utility of a job of mean size that meets its objective
     * @param lateUtility utility of a late job of mean size
     * @param width distribution of the number of tasks of a step
     * @param run distribution of a task's run time
     * @param perTask resources of a task besides accelerators
     * @param accelerators accelerators of a task, drawn with equal probability
     * @param traits probabilities of the jobs' properties
     */
    record QueueLoad(
            String name,
            Submission.QueueRules rules,
            double jobsPerS,
            double utility,
            double lateUtility,
            Width width,
            RunTime run,
            Resources perTask,
            List<Integer> accelerators,
            Traits traits) {}

    /** Number of tasks of a step: mean, standard deviation of its logarithm, and maximum. */
    record Width(double mean, double spread, int max) {}

    /** Run time in ms of a task: mean, log deviation over steps, variation in a step, log deviation of estimates. */
    record RunTime(double meanMs, double spread, double variation, double estimateError) {}

    /** Properties of a queue's jobs: whether wide steps are gangs, and the probabilities of the others. */
    record Traits(
            boolean gangs,
            double sameRack,
            double checkpoints,
            double twoSteps,
            double cancelled,
            double failingRuns,
            double alwaysFails) {}

    Guarantees guarantees() {
        return new Guarantees(Map.of(
                workspace(0), GUARANTEED.get(0),
                workspace(1), GUARANTEED.get(1),
                workspace(2), GUARANTEED.get(2),
                workspace(3), GUARANTEED.get(3)));
    }

    static int workspaces() {
        return GUARANTEED.size();
    }

    static WorkspaceId workspace(int index) {
        return new WorkspaceId("workspace-" + index);
    }

    /** Returns the model of a site with accurate estimates, plans that need much memory, and short stops. */
    static SiteModel lagilagi() {
        return new SiteModel(
                "lagilagi",
                32,
                6,
                new Resources(32_000, 131_072, 8, 0, 0),
                List.of(0.7, 0.7, 1.7),
                400,
                List.of(
                        new QueueLoad(
                                "plan",
                                new Submission.QueueRules(1, 3, 3, 1000),
                                0.439,
                                3,
                                0.9,
                                new Width(5, 0.8, 30),
                                new RunTime(8500, 0.3, 0.15, 0.2),
                                new Resources(13_000, 68_000, 0, 0, 0),
                                List.of(1, 2, 4, 8, 8),
                                new Traits(true, 0.6, 0.45, 0, 0.05, 0.005, 0)),
                        new QueueLoad(
                                "quote",
                                new Submission.QueueRules(0, 4, 1.5, 250),
                                1.34,
                                4,
                                0.8,
                                new Width(3.4, 0.8, 21),
                                new RunTime(2500, 0.5, 0.3, 0.2),
                                new Resources(3700, 11_000, 0, 0, 0),
                                List.of(1, 2, 4, 8, 8),
                                new Traits(true, 0.8, 0, 0, 0, 0.02, 0)),
                        new QueueLoad(
                                "check",
                                new Submission.QueueRules(2, 2, 3, 3000),
                                0.413,
                                1,
                                0.3,
                                new Width(16, 0.8, 94),
                                new RunTime(7600, 0.3, 0.3, 0.2),
                                new Resources(2800, 15_000, 0, 0, 0),
                                List.of(1),
                                new Traits(false, 0, 0.45, 0.3, 0.15, 0.005, 0.01))),
                new Weights(0.6, 0.25, 0.15, 0.2));
    }

    /** Returns the model of a site with inaccurate estimates, less memory, and stops of nearly a second. */
    static SiteModel bureau() {
        return new SiteModel(
                "bureau",
                33,
                8,
                new Resources(32_000, 65_536, 8, 0, 0),
                List.of(0.55, 1.2, 1.2, 1.2),
                900,
                List.of(
                        new QueueLoad(
                                "match",
                                new Submission.QueueRules(1, 2, 3, 1000),
                                0.601,
                                3,
                                1.5,
                                new Width(4, 0.8, 24),
                                new RunTime(8500, 0.3, 0.15, 0.9),
                                new Resources(13_000, 26_000, 0, 0, 0),
                                List.of(1, 2, 4, 8, 8),
                                new Traits(true, 0.6, 0.45, 0, 0.05, 0.005, 0.03)),
                        new QueueLoad(
                                "colour",
                                new Submission.QueueRules(0, 3, 1.5, 250),
                                1.34,
                                4,
                                0.8,
                                new Width(3, 0.8, 18),
                                new RunTime(2500, 0.5, 0.3, 0.5),
                                new Resources(3700, 9800, 0, 0, 0),
                                List.of(1, 2, 4, 8, 8),
                                new Traits(true, 0.8, 0, 0, 0, 0.02, 0)),
                        new QueueLoad(
                                "trace",
                                new Submission.QueueRules(2, 2, 3, 3000),
                                0.476,
                                1,
                                0.5,
                                new Width(12, 0.8, 72),
                                new RunTime(9500, 0.3, 0.3, 0.5),
                                new Resources(2800, 4100, 0, 0, 0),
                                List.of(1),
                                new Traits(false, 0, 0.45, 0.3, 0.15, 0.02, 0.01))),
                new Weights(0.75, 0.15, 0.1, 0.2));
    }
}
