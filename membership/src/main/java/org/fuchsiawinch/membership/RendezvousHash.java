package org.fuchsiawinch.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.membership.internal.Hashing;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.WorkerId;

/**
 * Assigns each worker to its liaison node by highest random weight. When a node goes, only its own workers move; when
 * one comes, it takes an equal share from each. All nodes with the same view reach the same answer. Stateless.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Finds the liaison of a worker.
     *
     * @param worker the worker
     * @param nodes nodes that may get new work, in any order
     * @return the node of the highest weight, or empty if there are no nodes
     */
    public static Optional<NodeId> assignedNode(WorkerId worker, Collection<NodeId> nodes) {
        return nodes.stream().max(byWeight(worker));
    }

    /**
     * Ranks nodes for a worker, the liaison first; the next ones take over when it fails.
     *
     * @param worker the worker
     * @param nodes nodes that may get new work, in any order
     * @param limit greatest number of nodes wanted
     * @return at most {@code limit} nodes by falling weight
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
