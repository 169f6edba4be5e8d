package org.fuchsiawinch.model;

import java.util.Map;

/**
 * The accepted document in the form that the scheduler reads. Immutable.
 *
 * @param version version of the document, rising by 1 with each accepted change
 * @param objective weights of the objective
 * @param workspaces rules of each workspace
 * @param lending rules for spare capacity
 * @param estimates rules for the correction of declared figures
 * @param faults rules for faulty workers and jobs
 * @param admission bounds of queues
 * @param prices prices of capacity and of moves
 */
public record Policy(
        int version,
        Objective objective,
        Map<WorkspaceId, WorkspacePolicy> workspaces,
        LendingPolicy lending,
        EstimatePolicy estimates,
        FaultPolicy faults,
        AdmissionPolicy admission,
        PricePolicy prices) {

    /**
     * Copies the map.
     */
    public Policy {
        workspaces = Map.copyOf(workspaces);
    }
}
