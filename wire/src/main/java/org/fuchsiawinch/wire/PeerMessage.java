package org.fuchsiawinch.wire;

import org.fuchsiawinch.membership.MembershipMessage;
import org.fuchsiawinch.model.NodeId;

/** Message between two nodes. The simple class name of each kind is written on the wire. */
public sealed interface PeerMessage {

    /**
     * Message of the membership protocol.
     *
     * @param message the message
     */
    record Membership(MembershipMessage message) implements PeerMessage {}

    /**
     * Status that a node sends periodically.
     *
     * @param status status of the sender
     */
    record Status(NodeStatusMessage status) implements PeerMessage {}

    /**
     * Requests the receiver's document; sent by a node that cannot read the log.
     *
     * @param from the sender
     * @param replyHost IP address of the sender's peer port
     * @param replyPort TCP port of the sender's peer port
     * @param version version of the document in force on the sender
     */
    record DocumentAsked(NodeId from, String replyHost, int replyPort, int version) implements PeerMessage {}

    /**
     * Reply to {@link DocumentAsked} with a newer document.
     *
     * @param version version of the document
     * @param text complete text of the document
     * @param throughOffset offset of the last log record that it reflects
     */
    record DocumentGiven(int version, String text, long throughOffset) implements PeerMessage {}

    /**
     * Status of a node.
     *
     * @param node id of the node
     * @param dataCentre data centre of the node
     * @param draining whether the node is draining before it stops
     * @param schedules whether the node schedules its cell
     * @param nextOffset offset of the log record that the node reads next
     * @param documentVersion version of the document in force on the node
     */
    record NodeStatusMessage(
            NodeId node,
            String dataCentre,
            boolean draining,
            boolean schedules,
            long nextOffset,
            int documentVersion) {}
}
