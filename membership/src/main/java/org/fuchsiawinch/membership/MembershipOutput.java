package org.fuchsiawinch.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Output of a membership protocol for one input.
 *
 * @param messages messages to send, in order
 * @param changes changes of the view, in order
 */
public record MembershipOutput(List<Outbound> messages, List<MembershipChange> changes) {

    /** Builder of the output for one input. Not thread-safe. */
    public static final class Builder {

        private final List<Outbound> messages = new ArrayList<>();
        private final List<MembershipChange> changes = new ArrayList<>();

        /** Adds a message to send. */
        public void send(Endpoint to, MembershipMessage message) {
            messages.add(new Outbound(to, message));
        }

        /** Adds a change of the view. */
        public void change(MembershipChange change) {
            changes.add(change);
        }

        /** Creates the output. */
        public MembershipOutput build() {
            return new MembershipOutput(List.copyOf(messages), List.copyOf(changes));
        }
    }
}
