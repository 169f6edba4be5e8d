package org.fuchsiawinch.model;

/**
 * Names one node process; a restarted process has a new id.
 *
 * @param value non-blank text without white space
 */
public record NodeId(String value) implements Comparable<NodeId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, too long or has white space
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
