package org.fuchsiawinch.wire;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a frame without a valid tag under the shared secret. */
public final class UntrustedPeerException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param lengthBytes length of the frame in bytes
     */
    public UntrustedPeerException(int lengthBytes) {
        super("frame of " + lengthBytes + " bytes without a valid tag");
    }
}
