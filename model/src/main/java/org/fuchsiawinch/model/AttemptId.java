package org.fuchsiawinch.model;

/**
 * Identifier of one attempt to run a job. A restart after a checkpoint is a new attempt.
 *
 * @param job the job
 * @param number number of the attempt, from 1
 */
public record AttemptId(JobId job, int number) {

    @Override
    public String toString() {
        return job + "#" + number;
    }
}
