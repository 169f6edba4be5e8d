package org.fuchsiawinch.document.ledger;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a file that does not contain an Ed25519 private key. */
public final class UnreadableKeyException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file name of the file
     * @param cause the exception of the decoder
     */
    public UnreadableKeyException(String file, Throwable cause) {
        super(file + " holds no Ed25519 private key in PEM form (PKCS #8)", cause);
    }
}
