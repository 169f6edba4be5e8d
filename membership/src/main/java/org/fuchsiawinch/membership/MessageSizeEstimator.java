package org.fuchsiawinch.membership;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.fuchsiawinch.model.NodeId;

/**
 * Estimates the size of a message on the wire, in bytes. A message is a MessagePack array of its kind and its fields, a
 * member is an array of five fields, and each datagram adds the IPv4 and UDP headers and an authentication tag.
 * Stateless.
 */
public final class MessageSizeEstimator implements ToIntFunction<MembershipMessage> {

    /** Size of the IPv4 header (20) and the UDP header (8), in bytes. */
    public static final int DATAGRAM_OVERHEAD_BYTES = 28;

    /** Size of the HMAC-SHA-256 tag, in bytes. */
    public static final int AUTHENTICATION_BYTES = 32;

    // Sizes and value limits of the MessagePack encodings; the sizes include the type byte.
    private static final int ARRAY_HEADER_BYTES = 1;
    private static final int LONG_ARRAY_HEADER_BYTES = 3;
    private static final int FIX_ARRAY_MAX = 15;
    private static final int KIND_BYTES = 1;
    private static final int STATE_BYTES = 1;
    private static final int NIL_BYTES = 1;
    private static final int LONG_BYTES = 9;
    private static final int FIX_TEXT_MAX_BYTES = 31;
    private static final int FIX_INT_MAX = 127;
    private static final int BYTE_MAX = 255;
    private static final int SHORT_MAX = 65_535;

    /** Creates the estimator. */
    public MessageSizeEstimator() {
        // No state to initialise.
    }

    @Override
    public int applyAsInt(MembershipMessage message) {
        int bytes = DATAGRAM_OVERHEAD_BYTES + AUTHENTICATION_BYTES + ARRAY_HEADER_BYTES + KIND_BYTES;
        bytes += member(message.from()) + ownFields(message);
        if (message instanceof MembershipMessage.SyncRequest) {
            return bytes;
        }
        return bytes + members(message.updates());
    }

    private static int ownFields(MembershipMessage message) {
        if (message instanceof MembershipMessage.Ping ping) {
            return integer(ping.sequence());
        }
        if (message instanceof MembershipMessage.PingRequest request) {
            return integer(request.sequence()) + endpoint(request.target());
        }
        if (message instanceof MembershipMessage.Ack ack) {
            return integer(ack.sequence()) + text(ack.subject().value());
        }
        if (message instanceof MembershipMessage.SyncRequest request) {
            return LONG_BYTES + optionalId(request.after());
        }
        if (message instanceof MembershipMessage.SyncPage page) {
            return optionalId(page.next());
        }
        return 0;
    }

    private static int members(List<Member> members) {
        int header = members.size() <= FIX_ARRAY_MAX ? ARRAY_HEADER_BYTES : LONG_ARRAY_HEADER_BYTES;
        return header + members.stream().mapToInt(MessageSizeEstimator::member).sum();
    }

    private static int member(Member member) {
        return ARRAY_HEADER_BYTES
                + text(member.id().value())
                + endpoint(member.endpoint())
                + text(member.dataCentre())
                + integer(member.incarnation())
                + STATE_BYTES;
    }

    private static int endpoint(Endpoint endpoint) {
        return ARRAY_HEADER_BYTES + text(endpoint.host()) + integer(endpoint.port());
    }

    private static int optionalId(Optional<NodeId> id) {
        return id.map(value -> text(value.value())).orElse(NIL_BYTES);
    }

    private static int text(String value) {
        int length = value.getBytes(StandardCharsets.UTF_8).length;
        return length <= FIX_TEXT_MAX_BYTES ? 1 + length : 2 + length;
    }

    private static int integer(int value) {
        if (value <= FIX_INT_MAX) {
            return 1;
        }
        if (value <= BYTE_MAX) {
            return 2;
        }
        return value <= SHORT_MAX ? 3 : 5;
    }
}
