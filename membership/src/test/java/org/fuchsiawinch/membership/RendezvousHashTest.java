package org.fuchsiawinch.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.WorkerId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against an assignment that overloads a node, depends on the order of the nodes or, when a node is added or
 * removed, moves workers of the other nodes among them.
 */
public class RendezvousHashTest {

    private static final int WORKERS = 7_600;
    private static final int NODES = 50;

    @Test
    public void noNodesYieldNoAssignment() {
        assertTrue(RendezvousHash.assignedNode(new WorkerId("w"), List.of()).isEmpty());
    }

    @Test
    public void assignmentIgnoresNodeOrder() {
        List<NodeId> nodes = nodes(NODES);
        List<NodeId> reversed = new ArrayList<>(nodes);
        Collections.reverse(reversed);
        assertEquals(assign(reversed), assign(nodes));
    }

    @Test
    public void spreadsWorkersEvenly() {
        Map<NodeId, Integer> load = new HashMap<>();
        assign(nodes(NODES)).values().forEach(node -> load.merge(node, 1, Integer::sum));
        double mean = (double) WORKERS / NODES;
        assertEquals(load.size(), NODES);
        load.values().forEach(count -> assertTrue(Math.abs(count - mean) < 0.35 * mean, "load " + count));
    }

    @Test
    public void onlyWorkersOfRemovedNodeMove() {
        List<NodeId> before = nodes(NODES);
        NodeId removed = before.get(17);
        List<NodeId> after = new ArrayList<>(before);
        after.remove(removed);
        Map<WorkerId, NodeId> old = assign(before);
        Map<WorkerId, NodeId> moved = assign(after);
        old.forEach((worker, node) -> assertEquals(moved.get(worker).equals(node), !node.equals(removed)));
    }

    @Test
    public void addedNodeReceivesOnlyItsShare() {
        Map<WorkerId, NodeId> old = assign(nodes(NODES));
        Map<WorkerId, NodeId> now = assign(nodes(NODES + 1));
        NodeId added = nodes(NODES + 1).get(NODES);
        long moved = old.keySet().stream()
                .filter(worker -> !old.get(worker).equals(now.get(worker)))
                .peek(worker -> assertEquals(now.get(worker), added))
                .count();
        assertTrue(moved > 0 && moved < 2 * WORKERS / NODES, "moved " + moved);
    }

    @Test
    public void secondRankedNodeTakesOver() {
        List<NodeId> nodes = nodes(8);
        WorkerId worker = new WorkerId("w-5");
        List<NodeId> ranked = RendezvousHash.ranked(worker, nodes, 2);
        List<NodeId> rest = new ArrayList<>(nodes);
        rest.remove(ranked.get(0));
        assertEquals(RendezvousHash.assignedNode(worker, rest).orElseThrow(), ranked.get(1));
    }

    private static List<NodeId> nodes(int count) {
        return IntStream.range(0, count).mapToObj(i -> new NodeId("node-" + i)).toList();
    }

    private static Map<WorkerId, NodeId> assign(List<NodeId> nodes) {
        Map<WorkerId, NodeId> assigned = new HashMap<>();
        for (int i = 0; i < WORKERS; i++) {
            WorkerId worker = new WorkerId("w-" + i);
            assigned.put(worker, RendezvousHash.assignedNode(worker, nodes).orElseThrow());
        }
        return assigned;
    }
}
