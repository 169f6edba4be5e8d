package org.fuchsiawinch.membership;

/**
 * Membership protocol as a deterministic state machine: equal inputs at equal times with an equal seed give equal
 * outputs. Not thread-safe: one thread owns an instance for the lifetime of its process.
 */
@FunctionalInterface
public interface MembershipProtocol {

    /**
     * Handles one input.
     *
     * @param input the input
     * @param nowMs present time of a monotonic clock, in ms
     * @return messages to send and changes of the view
     */
    MembershipOutput handle(MembershipInput input, long nowMs);
}
