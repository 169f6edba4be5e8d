package org.fuchsiawinch.core.internal;

import java.util.Set;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;

/**
 * Search criteria for the workers of a gang.
 *
 * @param parts number of parts
 * @param perPart granted resources of each part
 * @param adjacency domain within which all parts must be placed
 * @param scope which capacity may be used
 * @param avoid workers that must not be used
 * @param limit upper bound on the parts on a worker
 * @param penalty penalty added to the score of each candidate
 */
record PlacementRequest(
        int parts,
        Resources perPart,
        Adjacency adjacency,
        CapacityScope scope,
        Set<WorkerId> avoid,
        PartLimit limit,
        ScorePenalty penalty) {

    /** Upper bound on the number of parts that are placed on a worker. */
    @FunctionalInterface
    interface PartLimit {

        /** Limit that allows all parts that fit. */
        PartLimit NONE = (worker, fitting) -> fitting;

        /** Returns how many parts a worker may hold, given how many fit on it. */
        int apply(Worker worker, int fitting);
    }

    /** Penalty on the score of a candidate; a lower score is better. */
    @FunctionalInterface
    interface ScorePenalty {

        /** Penalty of 0 for each candidate. */
        ScorePenalty NONE = placement -> 0;

        /** Returns the amount added to the score of a placement. */
        double of(GangPlacement placement);
    }

    static PlacementRequest of(int parts, Resources perPart, Adjacency adjacency, CapacityScope scope) {
        return new PlacementRequest(parts, perPart, adjacency, scope, Set.of(), PartLimit.NONE, ScorePenalty.NONE);
    }

    /** Returns whether the search covers all workers without an upper bound on their parts. */
    boolean unlimited() {
        return limit == PartLimit.NONE && avoid.isEmpty();
    }

    boolean avoids(WorkerId worker) {
        return !avoid.isEmpty() && avoid.contains(worker);
    }

    PlacementRequest avoiding(Set<WorkerId> workers) {
        return new PlacementRequest(parts, perPart, adjacency, scope, workers, limit, penalty);
    }

    PlacementRequest limitedBy(PartLimit newLimit) {
        return new PlacementRequest(parts, perPart, adjacency, scope, avoid, newLimit, penalty);
    }

    PlacementRequest penalizedBy(ScorePenalty newPenalty) {
        return new PlacementRequest(parts, perPart, adjacency, scope, avoid, limit, newPenalty);
    }

    PlacementRequest withScope(CapacityScope newScope) {
        return new PlacementRequest(parts, perPart, adjacency, newScope, avoid, limit, penalty);
    }
}
