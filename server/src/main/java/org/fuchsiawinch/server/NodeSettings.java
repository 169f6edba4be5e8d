package org.fuchsiawinch.server;

import org.fuchsiawinch.workflow.owner.OwnerSettings;

/**
 * Settings of a node that its decisions depend on.
 *
 * @param name name of the node; stable across restarts
 * @param seed seed of the jitter that spreads retries and claims across nodes; not negative, differs between nodes
 * @param cores processor capacity of the node in cores
 * @param owner settings of the cell's owner
 */
public record NodeSettings(String name, long seed, double cores, OwnerSettings owner) {

    /** Capacity in cores below which a node becomes owner only if no larger one does. */
    private static final double MIN_OWNER_CORES = 0.5;

    /**
     * Returns whether the node is too small to own a large cell in time.
     *
     * @return true if larger nodes go first
     */
    public boolean small() {
        return cores < MIN_OWNER_CORES;
    }
}
