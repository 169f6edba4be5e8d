package org.fuchsiawinch.membership.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.model.NodeId;

/** Randomised round-robin order: every member is probed once before any is probed again. Not thread-safe. */
public final class ProbeOrder {

    private final Deque<NodeId> remaining = new ArrayDeque<>();

    /** Creates an order whose next call starts a new round. */
    public ProbeOrder() {
        // Fields are initialised inline.
    }

    /**
     * Returns the next member to probe, starting a new round when the current one is exhausted.
     *
     * @param table the members
     * @param random random source that shuffles a new round
     * @return the member, or empty if no member left in the round is reachable
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
