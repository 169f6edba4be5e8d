package org.fuchsiawinch.model;

/**
 * Names a worker.
 *
 * @param value non-blank text without white space
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, too long or has white space
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
