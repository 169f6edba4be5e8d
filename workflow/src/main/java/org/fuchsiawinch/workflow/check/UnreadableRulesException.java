package org.fuchsiawinch.workflow.check;

/** The operators' document cannot be read. */
public final class UnreadableRulesException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the field and what is wrong with it, on one line
     * @param cause the cause
     */
    public UnreadableRulesException(String message, Throwable cause) {
        super(message, cause);
    }
}
