package org.fuchsiawinch.membership;

import java.util.List;

/** Input of a membership protocol. */
public sealed interface MembershipInput {

    /** Clock tick, at a steady rate of several ticks per probe period. */
    record Tick() implements MembershipInput {}

    /**
     * Message received from a peer.
     *
     * @param message the message
     */
    record Received(MembershipMessage message) implements MembershipInput {}

    /**
     * VM list of the platform. The list lags: it may contain dead nodes and miss new ones.
     *
     * @param live addresses of live VMs
     * @param leaving addresses of VMs that are leaving
     */
    record VmList(List<Endpoint> live, List<Endpoint> leaving) implements MembershipInput {

        /** Creates unmodifiable copies of the lists. */
        public VmList {
            live = List.copyOf(live);
            leaving = List.copyOf(leaving);
        }
    }

    /** Start of the planned stop of this node. */
    record Leave() implements MembershipInput {}
}
