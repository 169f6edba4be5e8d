package org.fuchsiawinch.membership;

/**
 * Message to send and its destination.
 *
 * @param to address of the receiver
 * @param message the message
 */
public record Outbound(Endpoint to, MembershipMessage message) {}
