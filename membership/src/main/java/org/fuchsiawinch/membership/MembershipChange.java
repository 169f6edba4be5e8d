package org.fuchsiawinch.membership;

import java.util.Optional;

/**
 * Change of a member in the view of one node.
 *
 * @param member the member with its new state
 * @param previous its previous state; empty if it was unknown or dead
 */
public record MembershipChange(Member member, Optional<MemberState> previous) {}
