package org.fuchsiawinch.server.api;

import java.util.Optional;

/**
 * Request of a caller, without its body.
 *
 * @param host host name, without the port
 * @param path path, without the query
 * @param key API key of a workspace; empty if the request has none
 * @param maxWaitMs maximum time in ms that the caller waits for the answer, from the arrival of the request
 */
public record CallerRequest(String host, String path, Optional<String> key, long maxWaitMs) {}
