package org.fuchsiawinch.membership;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.NodeId;

/** Message between two nodes. Carries the sender's own member record and a bounded list of updates on members. */
public sealed interface MembershipMessage {

    /** Returns the sender's own member record. */
    Member from();

    /** Returns the updates on members; one that the receiver can refute comes first. Empty if there are none. */
    List<Member> updates();

    /**
     * Periodic heartbeat of the all-to-all protocol.
     *
     * @param from the sender
     * @param updates members that the receiver may not know yet
     */
    record Heartbeat(Member from, List<Member> updates) implements MembershipMessage {}

    /**
     * Probe that the receiver answers with an {@link Ack}.
     *
     * @param from the sender
     * @param sequence sequence number that the sender gave to this probe
     * @param updates updates on members
     */
    record Ping(Member from, int sequence, List<Member> updates) implements MembershipMessage {}

    /**
     * Request for an indirect probe: the receiver probes a third member on behalf of the sender.
     *
     * @param from the sender
     * @param sequence sequence number that the sender gave to this probe
     * @param target address to probe
     * @param updates updates on members
     */
    record PingRequest(Member from, int sequence, Endpoint target, List<Member> updates) implements MembershipMessage {}

    /**
     * Answer to a {@link Ping}, sent directly or relayed by another member.
     *
     * @param from the sender
     * @param sequence sequence number that the receiver gave to the answered probe
     * @param subject node that answered the probe; the sender itself unless the answer is relayed
     * @param updates updates on members
     */
    record Ack(Member from, int sequence, NodeId subject, List<Member> updates) implements MembershipMessage {}

    /**
     * One-way message that disseminates updates.
     *
     * @param from the sender
     * @param updates updates on members
     */
    record Gossip(Member from, List<Member> updates) implements MembershipMessage {}

    /**
     * Request for a page of the receiver's members. A request for the first page is not answered if both views have the
     * same digest.
     *
     * @param from the sender
     * @param digest digest of the sender's view
     * @param after last id of the previous page; empty for the first page
     */
    record SyncRequest(Member from, long digest, Optional<NodeId> after) implements MembershipMessage {

        @Override
        public List<Member> updates() {
            return List.of();
        }
    }

    /**
     * Page of the sender's members, ordered by id.
     *
     * @param from the sender
     * @param updates the members of this page, after any update that the receiver can refute
     * @param next last id of this page if more pages may follow; empty on the last page
     */
    record SyncPage(Member from, List<Member> updates, Optional<NodeId> next) implements MembershipMessage {}
}
