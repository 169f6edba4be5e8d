package org.fuchsiawinch.workflow.owner;

import java.util.Map;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * Number of accelerators guaranteed to each workspace for its jobs of priority 0.
 *
 * @param accelerators number of accelerators by workspace
 */
public record Guarantees(Map<WorkspaceId, Integer> accelerators) {

    /** No guarantees. */
    public static final Guarantees NONE = new Guarantees(Map.of());

    /**
     * Copies the map.
     */
    public Guarantees {
        accelerators = Map.copyOf(accelerators);
    }

    /**
     * Returns the guarantee of a workspace.
     *
     * @param workspace the workspace
     * @return number of accelerators; 0 if it has none
     */
    public int of(WorkspaceId workspace) {
        return accelerators.getOrDefault(workspace, 0);
    }
}
