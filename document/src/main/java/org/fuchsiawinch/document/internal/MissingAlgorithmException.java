package org.fuchsiawinch.document.internal;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a Java runtime that lacks a required cryptographic algorithm. */
public final class MissingAlgorithmException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param algorithm name of the algorithm
     * @param cause the exception that the runtime threw
     */
    public MissingAlgorithmException(String algorithm, Throwable cause) {
        super("the Java runtime lacks " + algorithm, cause);
    }
}
