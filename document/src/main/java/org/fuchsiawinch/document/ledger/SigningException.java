package org.fuchsiawinch.document.ledger;

import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports that the Java runtime could not compute a signature. */
public final class SigningException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param team name of the team whose key was used
     * @param section the section
     * @param cause the exception that the runtime threw
     */
    public SigningException(String team, Section section, Throwable cause) {
        super("the change of section " + section.key() + " could not be signed with the key of team " + team, cause);
    }
}
