package org.fuchsiawinch.model;

/**
 * What a gang takes: a number of equal parts and how close they must be.
 *
 * @param parts number of parts, at least 1
 * @param perPart resources of each part, on one worker
 * @param adjacency closeness of the parts
 */
public record Shape(int parts, Resources perPart, Adjacency adjacency) {

    /**
     * Sums up the accelerators of all parts.
     *
     * @return whole accelerators
     */
    public int accelerators() {
        return parts * perPart.accelerators();
    }
}
