package org.fuchsiawinch.document.ledger;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports that the Java runtime could not compute a signature. */
public final class SigningException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param cause the exception that the runtime threw
     */
    public SigningException(Throwable cause) {
        super("the section could not be signed", cause);
    }
}
