package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.owner.Guarantees;

/**
 * A users' site as the offline model plays it: its workers, its queues and how it weighs a day. Figures are rounded
 * from the users' sheets; distributions are log-normal around the means.
 *
 * @param name the site
 * @param workers number of workers
 * @param rackSize workers of a rack
 * @param capacity capacity of a worker
 * @param speeds speeds of the workers, drawn with equal chances
 * @param stopMs longest time in ms that a stop takes
 * @param queues the queues
 * @param weights weights of the parts of a day's worth
 */
record DaySite(
        String name,
        int workers,
        int rackSize,
        Resources capacity,
        List<Double> speeds,
        long stopMs,
        List<QueueLoad> queues,
        Weights weights) {

    /** Accelerators of each workspace, largest first; the first ones also send the most. */
    private static final List<Integer> GUARANTEED = List.of(48, 40, 32, 32);

    /**
     * How the parts of a day are weighed.
     *
     * @param whole the whole day
     * @param windows its two worst windows
     * @param queue its worst queue
     * @param workspaces its worst workspaces, which the model does not tell from the whole
     */
    record Weights(double whole, double windows, double queue, double workspaces) {}

    /**
     * What callers send to a queue.
     *
     * @param name the queue
     * @param rules its rules
     * @param perS jobs a second on an ordinary day
     * @param worth worth of a job of mean size that is in time
     * @param lateWorth worth of one that is late
     * @param width mean and largest number of tasks of a step
     * @param run mean and spread of a task's run time
     * @param perTask what a task needs beside accelerators
     * @param accelerators accelerators of a task, drawn with equal chances
     * @param traits shares of jobs
     */
    record QueueLoad(
            String name,
            Submission.QueueRules rules,
            double perS,
            double worth,
            double lateWorth,
            Width width,
            RunTime run,
            Resources perTask,
            List<Integer> accelerators,
            Traits traits) {}

    /** Number of tasks of a step: mean, spread as the deviation of its logarithm, and maximum. */
    record Width(double mean, double spread, int most) {}

    /** Run time in ms of a task: mean, spread over jobs, spread over a job's tasks, and error of estimates. */
    record RunTime(double meanMs, double spread, double uneven, double estimateError) {}

    /** Shares of jobs, or of runs, with a trait. */
    record Traits(
            boolean gangs,
            double sameRack,
            double checkpoints,
            double twoSteps,
            double cancelled,
            double failingRuns,
            double neverDone) {}

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

    /** Franchise orders: estimates that are nearly right, large memory of the plans, short stops. */
    static DaySite lagilagi() {
        return new DaySite(
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

    /** Restoration work: estimates that are far off, less memory, stops of nearly a second. */
    static DaySite bureau() {
        return new DaySite(
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
