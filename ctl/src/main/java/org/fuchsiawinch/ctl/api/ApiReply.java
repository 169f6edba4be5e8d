package org.fuchsiawinch.ctl.api;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * HTTP reply of a node.
 *
 * @param status HTTP status
 * @param body parsed JSON body; an empty object if the reply has no body
 */
public record ApiReply(int status, JsonNode body) {

    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;

    /**
     * Returns whether the node carried out the request.
     *
     * @return true for statuses from 200 to 299
     */
    public boolean ok() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }
}
