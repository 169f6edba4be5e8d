package org.fuchsiawinch.workflow.job;

import java.util.ArrayList;
import java.util.List;

/** A job and the state of its tasks. Not thread-safe. */
public final class JobState {

    private final Submission submission;
    private final List<List<TaskState>> steps = new ArrayList<>();
    private JobPhase phase = JobPhase.QUEUED;
    private long endedAtMs;

    /**
     * Creates the state of a job that has just been accepted.
     *
     * @param submission the job
     */
    public JobState(Submission submission) {
        this.submission = submission;
        for (StepSpec step : submission.steps()) {
            List<TaskState> tasks = new ArrayList<>(step.count());
            for (int i = 0; i < step.count(); i++) {
                tasks.add(new TaskState());
            }
            steps.add(tasks);
        }
    }

    /**
     * Gives the job as accepted.
     *
     * @return the submission
     */
    public Submission submission() {
        return submission;
    }

    /**
     * Gives the phase.
     *
     * @return the phase
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Gives the time at which the job ended.
     *
     * @return wall-clock time in ms since the epoch; 0 before the end
     */
    public long endedAtMs() {
        return endedAtMs;
    }

    /**
     * Gives the tasks of a step.
     *
     * @param step index of the step
     * @return the tasks; not to be changed
     */
    public List<TaskState> tasks(int step) {
        return steps.get(step);
    }

    /**
     * Gives a task.
     *
     * @param ref its name
     * @return its state, or null if the job has no such task
     */
    public TaskState task(TaskRef ref) {
        if (ref.step() < 0 || ref.step() >= steps.size()) {
            return null;
        }
        List<TaskState> tasks = steps.get(ref.step());
        return ref.index() < 0 || ref.index() >= tasks.size() ? null : tasks.get(ref.index());
    }

    /**
     * Says whether all steps before a step are done.
     *
     * @param step index of the step
     * @return true if its tasks may run
     */
    public boolean mayRun(int step) {
        for (int before : submission.steps().get(step).after()) {
            if (!steps.get(before).stream().allMatch(task -> task.phase() == TaskPhase.DONE)) {
                return false;
            }
        }
        return true;
    }

    /** Notes that a task has been ordered to start. */
    public void begin() {
        if (phase == JobPhase.QUEUED) {
            phase = JobPhase.ACTIVE;
        }
    }

    /**
     * Ends the job unless it has ended.
     *
     * @param end the last phase
     * @param wallMs wall-clock time in ms since the epoch
     */
    public void end(JobPhase end, long wallMs) {
        if (!phase.ended()) {
            phase = end;
            endedAtMs = wallMs;
        }
    }

    /**
     * Takes over a recorded phase.
     *
     * @param recorded the phase
     * @param recordedEndMs wall-clock time of the end in ms since the epoch; 0 before it
     */
    public void restore(JobPhase recorded, long recordedEndMs) {
        phase = recorded;
        endedAtMs = recordedEndMs;
    }

    /**
     * Says whether all tasks of all steps are done.
     *
     * @return true if the job can be completed
     */
    public boolean allDone() {
        return steps.stream().allMatch(tasks -> tasks.stream().allMatch(task -> task.phase() == TaskPhase.DONE));
    }

    /**
     * Says whether a task is assigned.
     *
     * @return true if something runs or may run
     */
    public boolean hasAssigned() {
        return steps.stream().anyMatch(tasks -> tasks.stream().anyMatch(task -> task.phase() == TaskPhase.ASSIGNED));
    }
}
