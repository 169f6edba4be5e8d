package org.fuchsiawinch.server.api;

import java.util.Optional;

/**
 * A caller's request, without its body.
 *
 * @param host host name, without a port
 * @param path path, without a query
 * @param key key of a workspace
 * @param deadlineMs how long the caller waits for the answer, in ms
 */
public record CallerRequest(String host, String path, Optional<String> key, long deadlineMs) {}
