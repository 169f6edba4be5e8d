package org.fuchsiawinch.workflow.job;

/**
 * Identifies a task of a job.
 *
 * @param job the job's id
 * @param step index of the step, from 0
 * @param index index of the task within the step, from 0
 */
public record TaskRef(String job, int step, int index) {

    @Override
    public String toString() {
        return job + "/" + step + "/" + index;
    }
}
