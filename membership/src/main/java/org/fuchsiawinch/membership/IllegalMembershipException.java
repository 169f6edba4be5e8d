package org.fuchsiawinch.membership;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Thrown when a membership value or setting is missing or out of bounds. */
public final class IllegalMembershipException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    private final String field;

    /**
     * Creates the exception.
     *
     * @param field name of the invalid field
     * @param problem description of the problem, with the offending value
     */
    public IllegalMembershipException(String field, String problem) {
        super(field + ": " + problem);
        this.field = field;
    }

    /** Returns the name of the invalid field. */
    public String field() {
        return field;
    }
}
