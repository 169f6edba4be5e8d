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

/** Membership protocols available to trials. */
public enum ProtocolKind {
    /** {@link AllToAllHeartbeat} with its defaults. */
    HEARTBEAT((self, seed) -> new AllToAllHeartbeat(self, HeartbeatSettings.DEFAULTS)),
    /** {@link GossipMembership} with its defaults. */
    GOSSIP((self, seed) -> new GossipMembership(self, GossipSettings.DEFAULTS, seed)),
    /** {@link GossipMembership} without gossip rounds: updates are disseminated by probes only. */
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
     * @param seed seed of the random choices
     */
    public MembershipProtocol create(Member self, long seed) {
        return factory.create(self, seed);
    }

    /** Returns the name used on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the protocol with a command-line name, or empty if there is none.
     *
     * @param label name used on the command line
     */
    public static Optional<ProtocolKind> byLabel(String label) {
        return Arrays.stream(values())
                .filter(kind -> kind.label().equals(label))
                .findFirst();
    }
}
