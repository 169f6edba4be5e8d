package org.fuchsiawinch.node.adapter;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports that the platform's log answered a read with an error status. */
public final class LogUnavailableException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param status HTTP status of the response
     */
    public LogUnavailableException(int status) {
        super("read of the log failed with HTTP status " + status);
    }
}
