package org.fuchsiawinch.model;

import java.util.Map;

/**
 * The accepted document, compiled for the scheduler. Immutable.
 *
 * @param version version of the document, increased by 1 with each accepted change
 * @param objective weights of the objective
 * @param workspaces rules of each workspace
 * @param lending rules for lending unused guaranteed capacity
 * @param estimates rules for correcting declared run times and memory
 * @param faults rules for faulty workers and jobs
 * @param admission limits of queues
 * @param prices prices of capacity and of migrations
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
