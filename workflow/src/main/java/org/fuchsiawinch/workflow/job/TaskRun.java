package org.fuchsiawinch.workflow.job;

/**
 * Names one run of a task. Members of a gang that run together share the number.
 *
 * @param task the task
 * @param number from 1 on, rising
 */
public record TaskRun(TaskRef task, int number) {

    @Override
    public String toString() {
        return task + "#" + number;
    }
}
