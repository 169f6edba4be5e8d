package org.fuchsiawinch.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.membership.internal.Hashing;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.WorkerId;

/**
 * Rendezvous (highest random weight) hashing of workers to the node that renews their leases. Removing a node reassigns
 * only its own workers; adding one moves an equal share of the workers of each other node to it. Nodes with equal views
 * compute equal assignments. Stateless.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Returns the node to which a worker is assigned.
     *
     * @param worker the worker
     * @param nodes routable nodes, in any order
     * @return the node with the highest weight, or empty if there are no nodes
     */
    public static Optional<NodeId> assignedNode(WorkerId worker, Collection<NodeId> nodes) {
        return nodes.stream().max(byWeight(worker));
    }

    /**
     * Returns the nodes for a worker in order of precedence: the assigned node first, then those that replace it if it
     * fails.
     *
     * @param worker the worker
     * @param nodes routable nodes, in any order
     * @param limit maximum number of nodes
     * @return at most {@code limit} nodes by descending weight
     */
    public static List<NodeId> ranked(WorkerId worker, Collection<NodeId> nodes, int limit) {
        return nodes.stream().sorted(byWeight(worker).reversed()).limit(limit).toList();
    }

    private static Comparator<NodeId> byWeight(WorkerId worker) {
        long seed = Hashing.hashText(worker.value());
        Comparator<NodeId> byHash = (left, right) -> Long.compareUnsigned(weight(seed, left), weight(seed, right));
        return byHash.thenComparing(Comparator.naturalOrder());
    }

    private static long weight(long seed, NodeId node) {
        return Hashing.mix(seed ^ Hashing.hashText(node.value()));
    }
}
