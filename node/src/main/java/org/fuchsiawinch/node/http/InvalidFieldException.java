package org.fuchsiawinch.node.http;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a field of a request that is missing or out of bounds. */
public final class InvalidFieldException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param field name of the field
     */
    public InvalidFieldException(String field) {
        super("field " + field + " is missing or out of bounds");
    }
}
