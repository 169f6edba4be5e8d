package org.fuchsiawinch.ctl.api;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports that a node did not reply. */
public final class NodeUnreachableException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param url URL of the request
     * @param cause error of the connection, or the timeout
     */
    public NodeUnreachableException(String url, Throwable cause) {
        super("no reply from " + url + ": " + cause.getMessage(), cause);
    }
}
