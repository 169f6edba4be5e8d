package org.fuchsiawinch.model;

/**
 * Names a workspace (tenant).
 *
 * @param value non-blank text without white space
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, too long or has white space
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
