package org.fuchsiawinch.wire;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports bytes that are no valid message. */
public final class CodecException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param type name of the expected message type
     * @param lengthBytes length of the input in bytes
     * @param cause where and why decoding failed
     */
    public CodecException(String type, int lengthBytes, Throwable cause) {
        super("no valid " + type + " in " + lengthBytes + " bytes: " + cause.getMessage(), cause);
    }
}
