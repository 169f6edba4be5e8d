package org.fuchsiawinch.workflow.owner;

import java.util.Map;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * Accelerators that belong to each workspace for its jobs of priority 0.
 *
 * @param accelerators number by workspace
 */
public record Guarantees(Map<WorkspaceId, Integer> accelerators) {

    /** No workspace has any. */
    public static final Guarantees NONE = new Guarantees(Map.of());

    /**
     * Copies the map.
     */
    public Guarantees {
        accelerators = Map.copyOf(accelerators);
    }

    /**
     * Gives the guarantee of a workspace.
     *
     * @param workspace the workspace
     * @return number of accelerators; 0 if it has none
     */
    public int of(WorkspaceId workspace) {
        return accelerators.getOrDefault(workspace, 0);
    }
}
