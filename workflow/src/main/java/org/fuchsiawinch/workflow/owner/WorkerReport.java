package org.fuchsiawinch.workflow.owner;

import java.util.List;

import org.fuchsiawinch.workflow.job.TaskRun;

/**
 * Report of a worker in its answer to a renewal.
 *
 * @param incarnation start time of the worker's process in ms since the Unix epoch; increases with each restart
 * @param clockMs the worker's monotonic clock in ms
 * @param running runs in progress
 * @param ended ended runs that are not yet acknowledged, in order
 * @param complete whether {@code ended} holds all of them; false if it was truncated
 */
public record WorkerReport(
        long incarnation, long clockMs, List<RunningTask> running, List<EndedRun> ended, boolean complete) {

    /**
     * Copies the lists.
     */
    public WorkerReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run in progress.
     *
     * @param run the run
     * @param checkpoint newest checkpoint; empty text if there is none
     * @param percent progress in percent, 0 to 100
     */
    public record RunningTask(TaskRun run, String checkpoint, int percent) {}

    /**
     * An ended run.
     *
     * @param sequence sequence number of the end within the worker's incarnation, from 1
     * @param run the run
     * @param end how it ended
     * @param checkpoint newest checkpoint; empty text if there is none
     */
    public record EndedRun(long sequence, TaskRun run, RunEnd end, String checkpoint) {}

    /** Outcome of an ended run. */
    public enum RunEnd {
        /** Succeeded. */
        DONE,
        /** Failed by a fault of the task or of the worker. */
        FAILED,
        /** Stopped by an order. */
        STOPPED,
        /** Ended because the worker's lease expired. */
        LEASE_EXPIRED,
        /** Ended because another member of its gang ended early. */
        GANG_BROKEN,
        /** Ended because other members of its gang did not start in time. */
        GANG_INCOMPLETE
    }
}
