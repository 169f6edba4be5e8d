package org.fuchsiawinch.workflow.job;

import java.util.Optional;

import org.fuchsiawinch.model.WorkerId;

/** The stored part of a task's state, which survives a change of owner. Not thread-safe; part of {@link JobState}. */
public final class TaskState {

    private TaskPhase phase = TaskPhase.WAITING;
    private int run;
    private int failures;
    private int lastFailedRun;
    private WorkerId worker;
    private String checkpoint = "";

    /**
     * Returns the phase.
     *
     * @return the phase
     */
    public TaskPhase phase() {
        return phase;
    }

    /**
     * Returns the number of the latest run.
     *
     * @return the number; 0 before the first run
     */
    public int run() {
        return run;
    }

    /**
     * Returns the number of failed runs.
     *
     * @return the number
     */
    public int failures() {
        return failures;
    }

    /**
     * Returns the worker of the current run.
     *
     * @return the worker; empty unless the task is assigned
     */
    public Optional<WorkerId> worker() {
        return Optional.ofNullable(worker);
    }

    /**
     * Returns the newest checkpoint.
     *
     * @return the checkpoint; empty text if there is none
     */
    public String checkpoint() {
        return checkpoint;
    }

    /**
     * Restores a stored state.
     *
     * @param storedPhase the phase
     * @param storedRun number of the latest run
     * @param storedFailures number of failed runs
     * @param storedLastFailedRun number of the latest run that was counted as a failure
     * @param storedWorker worker of the current run, or empty
     * @param storedCheckpoint newest checkpoint
     */
    public void restore(
            TaskPhase storedPhase,
            int storedRun,
            int storedFailures,
            int storedLastFailedRun,
            Optional<WorkerId> storedWorker,
            String storedCheckpoint) {
        phase = storedPhase;
        run = storedRun;
        failures = storedFailures;
        lastFailedRun = storedLastFailedRun;
        worker = storedWorker.orElse(null);
        checkpoint = storedCheckpoint;
    }

    /**
     * Assigns the task to a worker.
     *
     * @param newRun run number, higher than that of any earlier run
     * @param newWorker the worker
     */
    public void assign(int newRun, WorkerId newWorker) {
        phase = TaskPhase.ASSIGNED;
        run = newRun;
        worker = newWorker;
    }

    /** Marks the task as done and clears its worker. */
    public void markDone() {
        phase = TaskPhase.DONE;
        worker = null;
    }

    /** Resets the task to waiting after a run that failed, was stopped or never started. */
    public void release() {
        phase = TaskPhase.WAITING;
        worker = null;
    }

    /**
     * Counts a failed run. Idempotent per run, since a worker reports an end to each new owner until the end is
     * acknowledged.
     *
     * @param failed number of the run
     */
    public void countFailure(int failed) {
        if (failed > lastFailedRun) {
            lastFailedRun = failed;
            failures++;
        }
    }

    /**
     * Returns the number of the latest run that was counted as a failure.
     *
     * @return the number; 0 before the first failure
     */
    public int lastFailedRun() {
        return lastFailedRun;
    }

    /**
     * Replaces the checkpoint by a newer one.
     *
     * @param saved the checkpoint; empty text changes nothing
     */
    public void saveCheckpoint(String saved) {
        if (!saved.isEmpty()) {
            checkpoint = saved;
        }
    }
}
