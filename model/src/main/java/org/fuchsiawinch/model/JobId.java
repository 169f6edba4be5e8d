package org.fuchsiawinch.model;

/**
 * Names a job, unique over the life of the system.
 *
 * @param value non-blank text without white space
 */
public record JobId(String value) implements Comparable<JobId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, too long or has white space
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
