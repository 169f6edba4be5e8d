package org.fuchsiawinch.ctl.api;

import com.fasterxml.jackson.databind.JsonNode;

/** Port to a node's operator interface. */
public interface ControlApi {

    /**
     * Reads a resource.
     *
     * @param path path with a leading slash
     * @return the reply, of any status
     * @throws NodeUnreachableException if there is no reply within the timeout
     * @throws UnreadableReplyException if the reply is no JSON
     */
    ApiReply read(String path);

    /**
     * Sends a request that changes something. It is not repeated.
     *
     * @param path path with a leading slash
     * @param body the request
     * @return the reply, of any status
     * @throws NodeUnreachableException if there is no reply within the timeout; the change may have taken effect
     * @throws UnreadableReplyException if the reply is no JSON
     */
    ApiReply send(String path, JsonNode body);

    /**
     * Sends a text that changes something. It is not repeated.
     *
     * @param path path with a leading slash
     * @param text the text
     * @return the reply, of any status
     * @throws NodeUnreachableException if there is no reply within the timeout; the change may have taken effect
     * @throws UnreadableReplyException if the reply is no JSON
     */
    ApiReply sendText(String path, String text);
}
