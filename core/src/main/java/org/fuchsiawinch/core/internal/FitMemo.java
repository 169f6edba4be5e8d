package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiPredicate;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;

/**
 * Cache of shapes that fit nowhere. A cached shape is checked again only in the domains of workers whose capacity grew
 * since the last check, so that a job whose shape does not fit costs one look-up. Not thread-safe.
 */
final class FitMemo {

    private static final int MAX_SHAPES = 4096;

    private final Map<Key, Boolean> misfits = new HashMap<>();
    private final Set<Worker> grown = new LinkedHashSet<>();

    /** A search without limits. Caches its hash code because it is looked up for every job class. */
    static final class Key {

        private final int parts;
        private final Resources part;
        private final Adjacency adjacency;
        private final Space space;
        private final int hash;

        Key(int parts, Resources part, Adjacency adjacency, Space space) {
            this.parts = parts;
            this.part = part;
            this.adjacency = adjacency;
            this.space = space;
            this.hash = Objects.hash(parts, part, adjacency.ordinal(), space.ordinal());
        }

        static Key of(PlaceRequest request) {
            return new Key(request.parts(), request.part(), request.adjacency(), request.space());
        }

        int parts() {
            return parts;
        }

        Resources part() {
            return part;
        }

        Adjacency adjacency() {
            return adjacency;
        }

        Space space() {
            return space;
        }

        @Override
        public int hashCode() {
            return hash;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Key key
                    && parts == key.parts
                    && adjacency == key.adjacency
                    && space == key.space
                    && part.equals(key.part);
        }
    }

    /** Marks that more parts may fit on a worker than before. */
    void grew(Worker worker) {
        grown.add(worker);
    }

    /** Adds a shape that fits nowhere; clears the cache when it is full. */
    void misfit(Key key) {
        if (misfits.size() >= MAX_SHAPES) {
            misfits.clear();
        }
        misfits.put(key, Boolean.TRUE);
    }

    /**
     * Returns whether a shape is known to fit nowhere.
     *
     * @param key the shape
     * @param fitsAround test whether a shape fits in the domain of a worker
     */
    boolean knownMisfit(Key key, BiPredicate<Key, Worker> fitsAround) {
        if (!grown.isEmpty()) {
            List<Worker> workers = new ArrayList<>(grown);
            grown.clear();
            misfits.keySet().removeIf(known -> workers.stream().anyMatch(worker -> fitsAround.test(known, worker)));
        }
        return misfits.containsKey(key);
    }
}
