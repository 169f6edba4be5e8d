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
 * Remembers which shapes fit nowhere. A remembered shape is looked at again only on the workers whose capacity grew
 * since then, so that jobs of a shape that does not fit cost a look-up. Not thread-safe.
 */
final class FitMemo {

    private static final int MAX_SHAPES = 4096;

    private final Map<Key, Boolean> misfits = new HashMap<>();
    private final Set<Worker> grown = new LinkedHashSet<>();

    /** A search without limits; keeps its hash code because it is looked up for each class of jobs. */
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

    /** Notes that a worker may have more room than before. */
    void grew(Worker worker) {
        grown.add(worker);
    }

    /** Notes that a shape fits nowhere. */
    void misfit(Key key) {
        if (misfits.size() >= MAX_SHAPES) {
            misfits.clear();
        }
        misfits.put(key, Boolean.TRUE);
    }

    /** Says whether a shape is known to fit nowhere; tells with the given test whether it fits around a worker. */
    boolean knownMisfit(Key key, BiPredicate<Key, Worker> fitsAround) {
        if (!grown.isEmpty()) {
            List<Worker> workers = new ArrayList<>(grown);
            grown.clear();
            misfits.keySet().removeIf(known -> workers.stream().anyMatch(worker -> fitsAround.test(known, worker)));
        }
        return misfits.containsKey(key);
    }
}
