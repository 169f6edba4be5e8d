package org.fuchsiawinch.model;

/**
 * Names one part of one attempt of a gang.
 *
 * @param attempt the attempt
 * @param part index from 0 up to, not including, the number of parts in the job's shape
 */
public record TaskId(AttemptId attempt, int part) {

    @Override
    public String toString() {
        return attempt + "/" + part;
    }
}
