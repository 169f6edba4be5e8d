package org.fuchsiawinch.core.internal;

import java.util.Set;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;

/**
 * A search for the workers of a gang.
 *
 * @param parts number of parts
 * @param part granted resources of each part
 * @param adjacency closeness of the parts
 * @param space which capacity may be taken
 * @param avoid workers that must not be used
 * @param limit lowers the room of a worker
 * @param surcharge added to the score of each candidate
 */
record PlaceRequest(
        int parts,
        Resources part,
        Adjacency adjacency,
        Space space,
        Set<WorkerId> avoid,
        RoomLimit limit,
        Surcharge surcharge) {

    /** Lowers the number of parts that a worker has room for. */
    @FunctionalInterface
    interface RoomLimit {

        /** Lowers nothing. */
        RoomLimit NONE = (worker, room) -> room;

        int apply(Worker worker, int room);
    }

    /** Adds to the score of a candidate; a lower score is better. */
    @FunctionalInterface
    interface Surcharge {

        /** Adds nothing. */
        Surcharge NONE = gang -> 0;

        double of(Gang gang);
    }

    static PlaceRequest of(int parts, Resources part, Adjacency adjacency, Space space) {
        return new PlaceRequest(parts, part, adjacency, space, Set.of(), RoomLimit.NONE, Surcharge.NONE);
    }

    /** Says whether the search covers all workers and all of their space. */
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
