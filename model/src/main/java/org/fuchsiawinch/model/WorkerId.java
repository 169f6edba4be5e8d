package org.fuchsiawinch.model;

/**
 * Identifier of a worker.
 *
 * @param value non-blank text of at most 128 characters without white space
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, longer than 128 characters or contains white space
     */
    public WorkerId {
        Ids.check("WorkerId", value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
