package org.fuchsiawinch.model;

/**
 * Resources of a gang: a number of equal parts and how close to each other they must be placed.
 *
 * @param parts number of parts, at least 1
 * @param perPart resources of each part, on one worker
 * @param adjacency how close the parts must be placed
 */
public record Shape(int parts, Resources perPart, Adjacency adjacency) {

    /**
     * Returns the total number of accelerators of all parts.
     *
     * @return whole accelerators
     */
    public int accelerators() {
        return parts * perPart.accelerators();
    }
}
