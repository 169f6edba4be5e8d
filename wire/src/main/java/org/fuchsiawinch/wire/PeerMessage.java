package org.fuchsiawinch.wire;

import org.fuchsiawinch.membership.MembershipMessage;
import org.fuchsiawinch.model.NodeId;

/** A message between two nodes. */
public sealed interface PeerMessage {

    /**
     * A message of the membership protocol.
     *
     * @param message the message
     */
    record Membership(MembershipMessage message) implements PeerMessage {}

    /**
     * What a node tells of itself, from time to time.
     *
     * @param status the sender's status
     */
    record Status(NodeStatusMessage status) implements PeerMessage {}

    /**
     * Asks for the receiver's document; sent by a node that cannot read the log.
     *
     * @param from the sender
     * @param replyHost IP address of the sender's peer port
     * @param replyPort TCP port of the sender's peer port
     * @param version version in force on the sender
     */
    record DocumentAsked(NodeId from, String replyHost, int replyPort, int version) implements PeerMessage {}

    /**
     * Gives a newer document.
     *
     * @param version its version
     * @param text its whole text
     * @param throughOffset offset of the last log record that it reflects
     */
    record DocumentGiven(int version, String text, long throughOffset) implements PeerMessage {}

    /**
     * A node's status.
     *
     * @param node the node
     * @param dataCentre its data centre
     * @param draining whether it is stopping
     * @param schedules whether it schedules its cell
     * @param nextOffset offset of the log record that it reads next
     * @param documentVersion version of the document in force on it
     */
    record NodeStatusMessage(
            NodeId node,
            String dataCentre,
            boolean draining,
            boolean schedules,
            long nextOffset,
            int documentVersion) {}
}
