package org.fuchsiawinch.model;

/**
 * Identifier of a cell, a group of racks scheduled by one owner.
 *
 * @param value non-blank text of at most 128 characters without white space
 */
public record CellId(String value) implements Comparable<CellId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, longer than 128 characters or contains white space
     */
    public CellId {
        Ids.check("CellId", value);
    }

    @Override
    public int compareTo(CellId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
