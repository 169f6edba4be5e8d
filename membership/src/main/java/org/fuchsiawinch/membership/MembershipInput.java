package org.fuchsiawinch.membership;

import java.util.List;

/** What drives a membership protocol. */
public sealed interface MembershipInput {

    /** Passing of time; given at a steady rate, several times within a probe period. */
    record Tick() implements MembershipInput {}

    /**
     * A message from a peer.
     *
     * @param message the message
     */
    record Received(MembershipMessage message) implements MembershipInput {}

    /**
     * The platform's VM list, which lags: it may list dead nodes and miss new ones.
     *
     * @param live addresses of live VMs
     * @param leaving addresses of VMs that are leaving
     */
    record VmList(List<Endpoint> live, List<Endpoint> leaving) implements MembershipInput {

        /** Copies the lists. */
        public VmList {
            live = List.copyOf(live);
            leaving = List.copyOf(leaving);
        }
    }

    /** This node begins its planned stop. */
    record Leave() implements MembershipInput {}
}
