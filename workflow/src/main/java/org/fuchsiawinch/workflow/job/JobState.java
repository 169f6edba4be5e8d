package org.fuchsiawinch.workflow.job;

import java.util.ArrayList;
import java.util.List;

/** Mutable state of a job and its tasks. Not thread-safe. */
public final class JobState {

    private final Submission submission;
    private final List<List<TaskState>> steps = new ArrayList<>();
    private final long[] criticalPathsAfterMs;
    private final long criticalPathMs;
    private final long peakAccelerators;
    private JobPhase phase = JobPhase.QUEUED;
    private long endedAtMs;

    /**
     * Creates the state of a newly accepted job, with all tasks waiting.
     *
     * @param submission the job
     */
    public JobState(Submission submission) {
        this.submission = submission;
        this.criticalPathsAfterMs = submission.criticalPathsAfterMs();
        this.criticalPathMs = submission.criticalPathMs();
        this.peakAccelerators = submission.peakAccelerators();
        for (StepSpec step : submission.steps()) {
            List<TaskState> tasks = new ArrayList<>(step.count());
            for (int i = 0; i < step.count(); i++) {
                tasks.add(new TaskState());
            }
            steps.add(tasks);
        }
    }

    /**
     * Returns the job as accepted.
     *
     * @return the submission
     */
    public Submission submission() {
        return submission;
    }

    /**
     * Returns the largest number of accelerators that one step of the job uses concurrently.
     *
     * @return number of accelerators
     */
    public long peakAccelerators() {
        return peakAccelerators;
    }

    /**
     * Returns the critical path of the job: the longest chain of estimated run times through its steps.
     *
     * @return time in ms
     */
    public long criticalPathMs() {
        return criticalPathMs;
    }

    /**
     * Returns the critical path from the end of a step to the end of the job.
     *
     * @param step index of the step
     * @return time in ms; 0 if no step depends on this one
     */
    public long criticalPathAfterMs(int step) {
        return criticalPathsAfterMs[step];
    }

    /**
     * Returns the phase.
     *
     * @return the phase
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Returns the time at which the job ended.
     *
     * @return wall-clock time in ms since the Unix epoch; 0 before the end
     */
    public long endedAtMs() {
        return endedAtMs;
    }

    /**
     * Returns the tasks of a step.
     *
     * @param step index of the step
     * @return the tasks in order of index; must not be modified
     */
    public List<TaskState> tasks(int step) {
        return steps.get(step);
    }

    /**
     * Returns the state of a task.
     *
     * @param ref the task
     * @return the state, or null if the job has no such task
     */
    public TaskState task(TaskRef ref) {
        if (ref.step() < 0 || ref.step() >= steps.size()) {
            return null;
        }
        List<TaskState> tasks = steps.get(ref.step());
        return ref.index() < 0 || ref.index() >= tasks.size() ? null : tasks.get(ref.index());
    }

    /**
     * Returns whether all tasks of all steps that a step depends on are done.
     *
     * @param step index of the step
     * @return true if the step's tasks may start
     */
    public boolean dependenciesDone(int step) {
        for (int dependency : submission.steps().get(step).after()) {
            if (!steps.get(dependency).stream().allMatch(task -> task.phase() == TaskPhase.DONE)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Moves the job from QUEUED to ACTIVE, once a worker has confirmed that a task has started.
     *
     * @return whether the phase has changed
     */
    public boolean markActive() {
        if (phase != JobPhase.QUEUED) {
            return false;
        }
        phase = JobPhase.ACTIVE;
        return true;
    }

    /**
     * Ends the job. No effect if it has already ended.
     *
     * @param finalPhase the final phase
     * @param wallMs wall-clock time in ms since the Unix epoch
     */
    public void end(JobPhase finalPhase, long wallMs) {
        if (!phase.ended()) {
            phase = finalPhase;
            endedAtMs = wallMs;
        }
    }

    /**
     * Restores a stored phase.
     *
     * @param storedPhase the stored phase
     * @param storedEndMs wall-clock time of the end in ms since the Unix epoch; 0 before it
     */
    public void restore(JobPhase storedPhase, long storedEndMs) {
        phase = storedPhase;
        endedAtMs = storedEndMs;
    }

    /**
     * Returns whether all tasks of all steps are done.
     *
     * @return true if the job can be marked as completed
     */
    public boolean allTasksDone() {
        return steps.stream().allMatch(tasks -> tasks.stream().allMatch(task -> task.phase() == TaskPhase.DONE));
    }

    /**
     * Returns whether any task is assigned to a worker.
     *
     * @return true if a task runs or may be running
     */
    public boolean hasAssignedTasks() {
        return steps.stream().anyMatch(tasks -> tasks.stream().anyMatch(task -> task.phase() == TaskPhase.ASSIGNED));
    }
}
