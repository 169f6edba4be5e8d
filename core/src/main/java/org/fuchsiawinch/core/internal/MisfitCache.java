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
final class MisfitCache {

    private static final int MAX_SHAPES = 4096;

    private final Map<Key, Boolean> misfits = new HashMap<>();
    private final Set<Worker> grownWorkers = new LinkedHashSet<>();

    /** Criteria of a search without limits. Caches its hash code because it is looked up for every job class. */
    static final class Key {

        private final int parts;
        private final Resources perPart;
        private final Adjacency adjacency;
        private final CapacityScope scope;
        private final int hash;

        Key(int parts, Resources perPart, Adjacency adjacency, CapacityScope scope) {
            this.parts = parts;
            this.perPart = perPart;
            this.adjacency = adjacency;
            this.scope = scope;
            this.hash = Objects.hash(parts, perPart, adjacency.ordinal(), scope.ordinal());
        }

        static Key of(PlacementRequest request) {
            return new Key(request.parts(), request.perPart(), request.adjacency(), request.scope());
        }

        int parts() {
            return parts;
        }

        Resources perPart() {
            return perPart;
        }

        Adjacency adjacency() {
            return adjacency;
        }

        CapacityScope scope() {
            return scope;
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
                    && scope == key.scope
                    && perPart.equals(key.perPart);
        }
    }

    /** Marks that more parts may fit on a worker than before. */
    void capacityGrew(Worker worker) {
        grownWorkers.add(worker);
    }

    /** Adds a shape that fits nowhere; clears the cache when it is full. */
    void addMisfit(Key key) {
        if (misfits.size() >= MAX_SHAPES) {
            misfits.clear();
        }
        misfits.put(key, Boolean.TRUE);
    }

    /**
     * Returns whether a shape is known to fit nowhere, after removing the shapes that fit where capacity grew.
     *
     * @param key the shape
     * @param fitsInDomain test whether a shape fits in the domain of a worker
     */
    boolean knownMisfit(Key key, BiPredicate<Key, Worker> fitsInDomain) {
        if (!grownWorkers.isEmpty()) {
            List<Worker> workers = new ArrayList<>(grownWorkers);
            grownWorkers.clear();
            misfits.keySet().removeIf(known -> workers.stream().anyMatch(worker -> fitsInDomain.test(known, worker)));
        }
        return misfits.containsKey(key);
    }
}
