package org.fuchsiawinch.membership;

import org.fuchsiawinch.model.NodeId;

/**
 * One statement on a node: who it is, where, and its state at an incarnation. Only the node itself raises its
 * incarnation, to refute a suspicion.
 *
 * @param id the node; a restarted process has a new one
 * @param endpoint its address for peer messages
 * @param dataCentre its data centre
 * @param incarnation counter of refutations, from 0
 * @param state what is stated
 */
public record Member(NodeId id, Endpoint endpoint, String dataCentre, int incarnation, MemberState state) {

    /**
     * Checks the parts.
     *
     * @throws IllegalMembershipException if a part is missing or the incarnation negative
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
     * Returns a living member at incarnation 0.
     *
     * @param id the node
     * @param endpoint its address
     * @param dataCentre its data centre
     */
    public static Member alive(NodeId id, Endpoint endpoint, String dataCentre) {
        return new Member(id, endpoint, dataCentre, 0, MemberState.ALIVE);
    }

    /** Returns the same member in another state. */
    public Member withState(MemberState next) {
        return new Member(id, endpoint, dataCentre, incarnation, next);
    }

    /** Returns the same member at another incarnation. */
    public Member withIncarnation(int next) {
        return new Member(id, endpoint, dataCentre, next, state);
    }

    /**
     * Returns whether this statement replaces an earlier one on the same node. Leaving replaces alive and suspect at
     * any incarnation, so that it takes effect at once and is never undone; otherwise the higher incarnation wins, and
     * at the same one the worse state.
     *
     * @param earlier the statement held so far
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
