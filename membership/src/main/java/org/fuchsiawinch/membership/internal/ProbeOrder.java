package org.fuchsiawinch.membership.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.model.NodeId;

/** Random order in which every member is probed once before any is probed again. Not thread-safe. */
public final class ProbeOrder {

    private final Deque<NodeId> remaining = new ArrayDeque<>();

    /** Creates an order with nothing left in its round. */
    public ProbeOrder() {
        // Nothing to prepare.
    }

    /**
     * Takes the next member to probe.
     *
     * @param table the members
     * @param random source of the next round's order
     * @return the member, or empty if there is none
     */
    public Optional<Member> next(MemberTable table, RandomGenerator random) {
        if (remaining.isEmpty()) {
            shuffle(table.reachable(), random);
        }
        while (!remaining.isEmpty()) {
            Optional<Member> member =
                    table.find(remaining.poll()).filter(found -> found.state().reachable());
            if (member.isPresent()) {
                return member;
            }
        }
        return Optional.empty();
    }

    private void shuffle(List<NodeId> ids, RandomGenerator random) {
        for (int i = ids.size() - 1; i >= 0; i--) {
            int pick = random.nextInt(i + 1);
            remaining.add(ids.get(pick));
            ids.set(pick, ids.get(i));
        }
    }
}
