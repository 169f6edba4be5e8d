package org.fuchsiawinch.server;

import org.fuchsiawinch.workflow.owner.OwnerSettings;

/**
 * Settings of a node that its decisions depend on.
 *
 * @param name name of the node; stable across restarts
 * @param seed seed of the jitter that spreads retries and claims across nodes; not negative, differs between nodes
 * @param owner settings of the cell's owner
 */
public record NodeSettings(String name, long seed, OwnerSettings owner) {}
