package org.fuchsiawinch.server;

import org.fuchsiawinch.workflow.owner.OwnerSettings;

/**
 * Settings of a node that its decisions depend on.
 *
 * @param name name of the node, the same over restarts
 * @param seed spreads retries and claims over the nodes
 * @param owner figures of the cell's owner
 */
public record NodeSettings(String name, long seed, OwnerSettings owner) {}
