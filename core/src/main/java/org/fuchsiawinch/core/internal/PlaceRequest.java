package org.fuchsiawinch.core.internal;

import java.util.Set;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;

/**
 * Search criteria for the workers of a gang.
 *
 * @param parts number of parts
 * @param part granted resources of each part
 * @param adjacency domain within which all parts must be placed
 * @param space which capacity may be used
 * @param avoid workers that must not be used
 * @param limit upper bound on the parts on a worker
 * @param surcharge penalty added to the score of each candidate
 */
record PlaceRequest(
        int parts,
        Resources part,
        Adjacency adjacency,
        Space space,
        Set<WorkerId> avoid,
        RoomLimit limit,
        Surcharge surcharge) {

    /** Upper bound on the number of parts that are placed on a worker. */
    @FunctionalInterface
    interface RoomLimit {

        /** Returns the number of parts unchanged. */
        RoomLimit NONE = (worker, room) -> room;

        int apply(Worker worker, int room);
    }

    /** Penalty on the score of a candidate; a lower score is better. */
    @FunctionalInterface
    interface Surcharge {

        /** Returns 0 for each candidate. */
        Surcharge NONE = gang -> 0;

        double of(Gang gang);
    }

    static PlaceRequest of(int parts, Resources part, Adjacency adjacency, Space space) {
        return new PlaceRequest(parts, part, adjacency, space, Set.of(), RoomLimit.NONE, Surcharge.NONE);
    }

    /** Returns whether the search covers all workers without an upper bound on their parts. */
    boolean unlimited() {
        return limit == RoomLimit.NONE && avoid.isEmpty();
    }

    boolean avoids(WorkerId worker) {
        return !avoid.isEmpty() && avoid.contains(worker);
    }

    PlaceRequest avoiding(Set<WorkerId> workers) {
        return new PlaceRequest(parts, part, adjacency, space, workers, limit, surcharge);
    }

    PlaceRequest limitedBy(RoomLimit roomLimit) {
        return new PlaceRequest(parts, part, adjacency, space, avoid, roomLimit, surcharge);
    }

    PlaceRequest chargedBy(Surcharge extra) {
        return new PlaceRequest(parts, part, adjacency, space, avoid, limit, extra);
    }

    PlaceRequest within(Space other) {
        return new PlaceRequest(parts, part, adjacency, other, avoid, limit, surcharge);
    }
}
