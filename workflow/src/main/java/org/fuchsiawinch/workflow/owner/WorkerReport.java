package org.fuchsiawinch.workflow.owner;

import java.util.List;

import org.fuchsiawinch.workflow.job.TaskRun;

/**
 * What a worker says of itself when its lease is renewed.
 *
 * @param incarnation start time of this life of the worker, in ms since the epoch; another value means a new life
 * @param clockMs its steady clock, in ms
 * @param running what runs there
 * @param ended runs that ended and are not acknowledged, in order
 * @param complete whether {@code ended} is not cut off
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
     * A run that goes on.
     *
     * @param run the run
     * @param checkpoint newest checkpoint; empty text if there is none
     * @param percent share of the work that is done, 0 to 100
     */
    public record RunningTask(TaskRun run, String checkpoint, int percent) {}

    /**
     * A run that ended.
     *
     * @param sequence number of the end in this life of the worker, from 1
     * @param run the run
     * @param end how it ended
     * @param checkpoint newest checkpoint; empty text if there is none
     */
    public record EndedRun(long sequence, TaskRun run, RunEnd end, String checkpoint) {}

    /** How a run ended. */
    public enum RunEnd {
        /** With success. */
        DONE,
        /** By its own fault or the worker's. */
        FAILED,
        /** By an order. */
        STOPPED,
        /** Because the worker's lease ran out. */
        LEASE_EXPIRED,
        /** Because another member of its gang ended. */
        GANG_BROKEN,
        /** Because the other members of its gang did not come. */
        GANG_INCOMPLETE
    }
}
