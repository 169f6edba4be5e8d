package org.fuchsiawinch.membership;

/**
 * A message to send.
 *
 * @param to address of the receiver
 * @param message the message
 */
public record Outbound(Endpoint to, MembershipMessage message) {}
