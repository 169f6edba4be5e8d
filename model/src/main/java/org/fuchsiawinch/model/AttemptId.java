package org.fuchsiawinch.model;

/**
 * Names one attempt to run a job. A restart after a checkpoint is a new attempt.
 *
 * @param job the job
 * @param number from 1 on
 */
public record AttemptId(JobId job, int number) {

    @Override
    public String toString() {
        return job + "#" + number;
    }
}
