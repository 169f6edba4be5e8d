package org.fuchsiawinch.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.fuchsiawinch.model.NodeId;

/**
 * View of the members held by one node, built from the changes that its protocol reports. Dead members are removed. Not
 * thread-safe.
 */
public final class MembershipView {

    private final SortedMap<NodeId, Member> members = new TreeMap<>();

    /** Creates an empty view. */
    public MembershipView() {
        // Fields are initialised inline.
    }

    /**
     * Applies the changes of one output.
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
     * Returns a member.
     *
     * @param id the node
     * @return the member, or empty if it is unknown or dead
     */
    public Optional<Member> member(NodeId id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Returns an unmodifiable view of all members that are not dead, ordered by id. */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Returns the nodes to which new work may be routed, ordered by id. */
    public List<NodeId> routable() {
        return members.values().stream()
                .filter(member -> member.state().routable())
                .map(Member::id)
                .toList();
    }
}
