package org.fuchsiawinch.node.http;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a request body over the limit. */
public final class BodyTooLargeException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param limitBytes the limit in bytes
     */
    public BodyTooLargeException(int limitBytes) {
        super("body is larger than " + limitBytes + " bytes");
    }
}
