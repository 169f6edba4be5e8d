package org.fuchsiawinch.ctl.api;

import com.fasterxml.jackson.databind.JsonNode;

/** Port to a node's operator interface. */
public interface ControlApi {

    /**
     * Reads a resource.
     *
     * @param path path with a leading slash
     * @return the reply, whatever its status
     * @throws NodeUnreachableException if there is no reply within the timeout
     * @throws UnreadableReplyException if the reply is not valid JSON
     */
    ApiReply read(String path);

    /**
     * Sends a request that changes the node's state. The request is not retried.
     *
     * @param path path with a leading slash
     * @param body JSON body of the request
     * @return the reply, whatever its status
     * @throws NodeUnreachableException if there is no reply within the timeout; the change may have taken effect
     * @throws UnreadableReplyException if the reply is not valid JSON
     */
    ApiReply send(String path, JsonNode body);

    /**
     * Sends a plain-text request that changes the node's state. The request is not retried.
     *
     * @param path path with a leading slash
     * @param text body of the request
     * @return the reply, whatever its status
     * @throws NodeUnreachableException if there is no reply within the timeout; the change may have taken effect
     * @throws UnreadableReplyException if the reply is not valid JSON
     */
    ApiReply sendText(String path, String text);
}
