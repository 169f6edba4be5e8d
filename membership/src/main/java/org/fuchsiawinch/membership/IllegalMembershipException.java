package org.fuchsiawinch.membership;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Says that a membership value or setting is outside its bounds. */
public final class IllegalMembershipException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    private final String field;

    /**
     * Creates the exception.
     *
     * @param field name of the offending field
     * @param problem what is wrong with it
     */
    public IllegalMembershipException(String field, String problem) {
        super(field + ": " + problem);
        this.field = field;
    }

    /** Returns the name of the offending field. */
    public String field() {
        return field;
    }
}
