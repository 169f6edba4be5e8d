package org.fuchsiawinch.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Result of one input.
 *
 * @param messages messages to send, in order
 * @param changes changes of the view, in order
 */
public record MembershipOutput(List<Outbound> messages, List<MembershipChange> changes) {

    /** Collects an output; not thread-safe, used for one input. */
    public static final class Builder {

        private final List<Outbound> messages = new ArrayList<>();
        private final List<MembershipChange> changes = new ArrayList<>();

        /** Adds a message. */
        public void send(Endpoint to, MembershipMessage message) {
            messages.add(new Outbound(to, message));
        }

        /** Adds a change. */
        public void change(MembershipChange change) {
            changes.add(change);
        }

        /** Returns the collected output. */
        public MembershipOutput build() {
            return new MembershipOutput(List.copyOf(messages), List.copyOf(changes));
        }
    }
}
