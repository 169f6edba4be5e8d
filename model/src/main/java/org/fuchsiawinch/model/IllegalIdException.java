package org.fuchsiawinch.model;

/** Reports text that is not a valid identifier. */
public final class IllegalIdException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param type name of the identifier's type
     * @param problem what is wrong with the text
     */
    public IllegalIdException(String type, String problem) {
        super(type + " is " + problem);
    }
}
