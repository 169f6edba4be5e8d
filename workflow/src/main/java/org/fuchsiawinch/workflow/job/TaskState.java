package org.fuchsiawinch.workflow.job;

import java.util.Optional;

import org.fuchsiawinch.model.WorkerId;

/** The part of a task's state that outlives its scheduler. Not thread-safe; owned by its {@link JobState}. */
public final class TaskState {

    private TaskPhase phase = TaskPhase.WAITING;
    private int run;
    private int failures;
    private int failedRun;
    private WorkerId worker;
    private String checkpoint = "";

    /**
     * Gives the phase.
     *
     * @return the phase
     */
    public TaskPhase phase() {
        return phase;
    }

    /**
     * Gives the number of the last run.
     *
     * @return the number; 0 before the first run
     */
    public int run() {
        return run;
    }

    /**
     * Gives the number of runs that failed.
     *
     * @return the number
     */
    public int failures() {
        return failures;
    }

    /**
     * Gives the worker of the present run.
     *
     * @return the worker, or empty unless the task is assigned
     */
    public Optional<WorkerId> worker() {
        return Optional.ofNullable(worker);
    }

    /**
     * Gives the newest checkpoint.
     *
     * @return the checkpoint; empty text if there is none
     */
    public String checkpoint() {
        return checkpoint;
    }

    /**
     * Takes over a recorded state.
     *
     * @param recordedPhase the phase
     * @param recordedRun number of the last run
     * @param recordedFailures number of failed runs
     * @param recordedFailedRun number of the last run whose failure was counted
     * @param recordedWorker worker of the present run, or empty
     * @param recordedCheckpoint newest checkpoint
     */
    public void restore(
            TaskPhase recordedPhase,
            int recordedRun,
            int recordedFailures,
            int recordedFailedRun,
            Optional<WorkerId> recordedWorker,
            String recordedCheckpoint) {
        phase = recordedPhase;
        run = recordedRun;
        failures = recordedFailures;
        failedRun = recordedFailedRun;
        worker = recordedWorker.orElse(null);
        checkpoint = recordedCheckpoint;
    }

    /**
     * Assigns the task to a worker.
     *
     * @param newRun number of the run, higher than the last one
     * @param newWorker the worker
     */
    public void assign(int newRun, WorkerId newWorker) {
        phase = TaskPhase.ASSIGNED;
        run = newRun;
        worker = newWorker;
    }

    /** Marks the task as done. */
    public void done() {
        phase = TaskPhase.DONE;
        worker = null;
    }

    /** Returns the task to waiting after a run that ended without success. */
    public void release() {
        phase = TaskPhase.WAITING;
        worker = null;
    }

    /**
     * Counts a failed run, once: a worker lists an end again to a new owner until that has acknowledged it.
     *
     * @param failed number of the run
     */
    public void countFailure(int failed) {
        if (failed > failedRun) {
            failedRun = failed;
            failures++;
        }
    }

    /**
     * Gives the number of the last run whose failure was counted.
     *
     * @return the number; 0 if none was
     */
    public int failedRun() {
        return failedRun;
    }

    /**
     * Keeps a newer checkpoint.
     *
     * @param saved the checkpoint; empty text changes nothing
     */
    public void save(String saved) {
        if (!saved.isEmpty()) {
            checkpoint = saved;
        }
    }
}
