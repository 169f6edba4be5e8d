package org.fuchsiawinch.membership;

import java.util.Optional;

/**
 * A change of what this node believes of another.
 *
 * @param member the member with its new state
 * @param previous its state before; empty if it was not known
 */
public record MembershipChange(Member member, Optional<MemberState> previous) {}
