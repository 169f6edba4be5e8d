package org.fuchsiawinch.ctl.api;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reply of a node.
 *
 * @param status HTTP status
 * @param body body of the reply
 */
public record ApiReply(int status, JsonNode body) {

    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;

    /**
     * Says whether the node did what it was asked.
     *
     * @return true for statuses from 200 to 299
     */
    public boolean ok() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }
}
