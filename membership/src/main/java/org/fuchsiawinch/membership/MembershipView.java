package org.fuchsiawinch.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.fuchsiawinch.model.NodeId;

/**
 * Members that one node believes in, folded from the changes of its protocol. Not thread-safe. Dead members are
 * dropped.
 */
public final class MembershipView {

    private final SortedMap<NodeId, Member> members = new TreeMap<>();

    /** Creates an empty view. */
    public MembershipView() {
        // Nothing to prepare.
    }

    /**
     * Takes in the changes of one output.
     *
     * @param changes the changes, in order
     */
    public void apply(List<MembershipChange> changes) {
        for (MembershipChange change : changes) {
            Member member = change.member();
            if (member.state() == MemberState.DEAD) {
                members.remove(member.id());
            } else {
                members.put(member.id(), member);
            }
        }
    }

    /**
     * Finds a member.
     *
     * @param id the node
     * @return the member, or empty if it is unknown or dead
     */
    public Optional<Member> member(NodeId id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Returns all members but the dead ones, by id; a read-only view. */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Returns the nodes that may get new work, by id. */
    public List<NodeId> routable() {
        return members.values().stream()
                .filter(member -> member.state().routable())
                .map(Member::id)
                .toList();
    }
}
