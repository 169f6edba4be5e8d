package org.fuchsiawinch.standin.userplatform;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Answer to a call.
 *
 * @param status HTTP status
 * @param body body, empty for none
 */
record Reply(int status, byte[] body) {

    static Reply json(int status, JsonNode body) {
        return new Reply(status, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    static Reply empty(int status) {
        return new Reply(status, new byte[0]);
    }
}
