package org.fuchsiawinch.wire;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a message that cannot be encoded or bytes that are not a valid message. */
public final class CodecException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param type name of the message type
     * @param lengthBytes length of the decoded input in bytes; 0 when encoding
     * @param cause cause with the location of the error
     */
    public CodecException(String type, int lengthBytes, Throwable cause) {
        super("no valid " + type + " in " + lengthBytes + " bytes: " + cause.getMessage(), cause);
    }
}
