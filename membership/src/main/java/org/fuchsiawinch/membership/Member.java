package org.fuchsiawinch.membership;

import org.fuchsiawinch.model.NodeId;

/**
 * Member record, exchanged between nodes as an update: a node's identity, address and state at an incarnation. Only the
 * node itself increments its incarnation, to refute a suspicion.
 *
 * @param id the node; a restarted process has a new id
 * @param endpoint address for peer messages
 * @param dataCentre data centre of the node
 * @param incarnation number of refutations, from 0
 * @param state state of the node at this incarnation
 */
public record Member(NodeId id, Endpoint endpoint, String dataCentre, int incarnation, MemberState state) {

    /**
     * Validates the components.
     *
     * @throws IllegalMembershipException if a component is null or the incarnation is negative
     */
    public Member {
        requirePresent("id", id);
        requirePresent("endpoint", endpoint);
        requirePresent("dataCentre", dataCentre);
        requirePresent("state", state);
        if (incarnation < 0) {
            throw new IllegalMembershipException("incarnation", "negative: " + incarnation);
        }
    }

    /**
     * Creates an alive member at incarnation 0.
     *
     * @param id the node
     * @param endpoint address for peer messages
     * @param dataCentre data centre of the node
     */
    public static Member alive(NodeId id, Endpoint endpoint, String dataCentre) {
        return new Member(id, endpoint, dataCentre, 0, MemberState.ALIVE);
    }

    /** Returns a copy with another state. */
    public Member withState(MemberState next) {
        return new Member(id, endpoint, dataCentre, incarnation, next);
    }

    /** Returns a copy with another incarnation, which must not be negative. */
    public Member withIncarnation(int next) {
        return new Member(id, endpoint, dataCentre, next, state);
    }

    /**
     * Returns whether this update replaces an earlier one on the same node. Leaving replaces alive and suspect at any
     * incarnation, so that it takes effect immediately and is never undone. Otherwise the higher incarnation wins, and
     * at equal incarnations the later state in the order of {@link MemberState}.
     *
     * @param earlier the update held so far
     */
    public boolean supersedes(Member earlier) {
        boolean leavingNow = state == MemberState.LEAVING;
        boolean leavingBefore = earlier.state == MemberState.LEAVING;
        if (leavingNow && earlier.state.routable()) {
            return true;
        }
        if (leavingBefore && state.routable()) {
            return false;
        }
        if (incarnation != earlier.incarnation) {
            return incarnation > earlier.incarnation;
        }
        return state.compareTo(earlier.state) > 0;
    }

    private static void requirePresent(String field, Object value) {
        if (value == null) {
            throw new IllegalMembershipException(field, "missing");
        }
    }
}
