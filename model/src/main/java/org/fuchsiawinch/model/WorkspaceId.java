package org.fuchsiawinch.model;

/**
 * Identifier of a workspace (tenant).
 *
 * @param value non-blank text of at most 128 characters without white space
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, longer than 128 characters or contains white space
     */
    public WorkspaceId {
        Ids.check("WorkspaceId", value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
