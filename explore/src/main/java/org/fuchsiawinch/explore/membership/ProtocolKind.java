package org.fuchsiawinch.explore.membership;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

import org.fuchsiawinch.membership.AllToAllHeartbeat;
import org.fuchsiawinch.membership.GossipMembership;
import org.fuchsiawinch.membership.GossipSettings;
import org.fuchsiawinch.membership.HeartbeatSettings;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MembershipProtocol;

/** Protocols that can be measured. */
public enum ProtocolKind {
    /** {@link AllToAllHeartbeat} with its defaults. */
    HEARTBEAT((self, seed) -> new AllToAllHeartbeat(self, HeartbeatSettings.DEFAULTS)),
    /** {@link GossipMembership} with its defaults. */
    GOSSIP((self, seed) -> new GossipMembership(self, GossipSettings.DEFAULTS, seed)),
    /** Gossip that spreads statements on probes alone. */
    GOSSIP_PROBES_ONLY((self, seed) ->
            new GossipMembership(self, GossipSettings.builder().gossip(500, 0).build(), seed));

    private final Factory factory;

    /** Creates the protocol of one node. */
    @FunctionalInterface
    interface Factory {

        MembershipProtocol create(Member self, long seed);
    }

    ProtocolKind(Factory factory) {
        this.factory = factory;
    }

    /**
     * Creates the protocol of one node.
     *
     * @param self the node
     * @param seed seed of its random choices
     */
    public MembershipProtocol create(Member self, long seed) {
        return factory.create(self, seed);
    }

    /** Returns the name on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a protocol by its name on the command line.
     *
     * @param label the name
     */
    public static Optional<ProtocolKind> byLabel(String label) {
        return Arrays.stream(values())
                .filter(kind -> kind.label().equals(label))
                .findFirst();
    }
}
