package org.fuchsiawinch.model;

/**
 * Identifier of a node process; a restarted process has a new id.
 *
 * @param value non-blank text of at most 128 characters without white space
 */
public record NodeId(String value) implements Comparable<NodeId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, longer than 128 characters or contains white space
     */
    public NodeId {
        Ids.check("NodeId", value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
