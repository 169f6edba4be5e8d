package org.fuchsiawinch.model;

/**
 * Identifier of a job, unique over the life of the system.
 *
 * @param value non-blank text of at most 128 characters without white space
 */
public record JobId(String value) implements Comparable<JobId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, longer than 128 characters or contains white space
     */
    public JobId {
        Ids.check("JobId", value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
