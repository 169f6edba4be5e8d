package org.fuchsiawinch.model;

/**
 * Identifier of one part of one attempt of a gang.
 *
 * @param attempt the attempt
 * @param part index of the part, from 0 to one less than the number of parts in the job's shape
 */
public record TaskId(AttemptId attempt, int part) {

    @Override
    public String toString() {
        return attempt + "/" + part;
    }
}
