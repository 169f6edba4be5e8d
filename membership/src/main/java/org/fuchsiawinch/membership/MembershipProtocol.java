package org.fuchsiawinch.membership;

/**
 * Port of a membership protocol as a pure state machine: the same inputs at the same times with the same seed give the
 * same outputs. Not thread-safe: one thread owns an instance for the life of its process.
 */
@FunctionalInterface
public interface MembershipProtocol {

    /**
     * Takes one input.
     *
     * @param input what happened
     * @param nowMs present time in ms on a clock that never falls
     * @return messages to send and changes of the view
     */
    MembershipOutput handle(MembershipInput input, long nowMs);
}
