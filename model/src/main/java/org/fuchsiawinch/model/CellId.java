package org.fuchsiawinch.model;

/**
 * Names a cell, a group of racks scheduled by one owner.
 *
 * @param value non-blank text without white space
 */
public record CellId(String value) implements Comparable<CellId> {

    /**
     * Checks the text.
     *
     * @throws IllegalIdException if the text is blank, too long or has white space
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
