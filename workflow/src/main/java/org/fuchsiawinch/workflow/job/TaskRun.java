package org.fuchsiawinch.workflow.job;

/**
 * Identifies one run of a task. Members of a gang that run together share the run number.
 *
 * @param task the task
 * @param number run number, from 1, increasing
 */
public record TaskRun(TaskRef task, int number) {

    @Override
    public String toString() {
        return task + "#" + number;
    }
}
