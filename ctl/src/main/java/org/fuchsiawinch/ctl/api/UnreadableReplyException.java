package org.fuchsiawinch.ctl.api;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a reply that is not valid JSON. */
public final class UnreadableReplyException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param url URL of the request
     * @param status HTTP status of the reply
     * @param cause error of the JSON parser
     */
    public UnreadableReplyException(String url, int status, Throwable cause) {
        super("reply " + status + " from " + url + " is no JSON: " + cause.getMessage(), cause);
    }
}
