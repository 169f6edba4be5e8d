package org.fuchsiawinch.membership;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.NodeId;

/** Message between two nodes, with the sender's statement on itself and a bounded list of statements on others. */
public sealed interface MembershipMessage {

    /** Returns the sender, as it states itself. */
    Member from();

    /** Returns statements on other members, most urgent first. */
    List<Member> updates();

    /**
     * Periodic sign of life of the all-to-all protocol.
     *
     * @param from the sender
     * @param updates members that the receiver may not know yet
     */
    record Heartbeat(Member from, List<Member> updates) implements MembershipMessage {}

    /**
     * Asks for an {@link Ack}.
     *
     * @param from the sender
     * @param sequence the sender's number for this probe
     * @param updates statements on members
     */
    record Ping(Member from, int sequence, List<Member> updates) implements MembershipMessage {}

    /**
     * Asks the receiver to probe a third member on the sender's behalf.
     *
     * @param from the sender
     * @param sequence the sender's number for this probe
     * @param target address to probe
     * @param updates statements on members
     */
    record PingRequest(Member from, int sequence, Endpoint target, List<Member> updates) implements MembershipMessage {}

    /**
     * Answers a {@link Ping}, directly or through a helper.
     *
     * @param from the sender
     * @param sequence number of the probe that is answered
     * @param subject the node that answered the probe; the sender itself unless relayed
     * @param updates statements on members
     */
    record Ack(Member from, int sequence, NodeId subject, List<Member> updates) implements MembershipMessage {}

    /**
     * Spreads statements without asking for an answer.
     *
     * @param from the sender
     * @param updates statements on members
     */
    record Gossip(Member from, List<Member> updates) implements MembershipMessage {}

    /**
     * Asks for the receiver's members, unless its view has the same digest.
     *
     * @param from the sender
     * @param digest digest of the sender's view
     * @param after last id of the page before; empty for the first page
     */
    record SyncRequest(Member from, long digest, Optional<NodeId> after) implements MembershipMessage {

        @Override
        public List<Member> updates() {
            return List.of();
        }
    }

    /**
     * One page of the sender's members, in the order of their ids.
     *
     * @param from the sender
     * @param updates the members of this page
     * @param next last id of this page if more follow; empty on the last page
     */
    record SyncPage(Member from, List<Member> updates, Optional<NodeId> next) implements MembershipMessage {}
}
