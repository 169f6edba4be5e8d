package org.fuchsiawinch.model;

/** Base class of the exceptions that this project throws. */
public abstract class FuchsiawinchException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong and where
     */
    protected FuchsiawinchException(String message) {
        super(message);
    }

    /**
     * Creates the exception with its cause.
     *
     * @param message what is wrong and where
     * @param cause the underlying failure
     */
    protected FuchsiawinchException(String message, Throwable cause) {
        super(message, cause);
    }
}
