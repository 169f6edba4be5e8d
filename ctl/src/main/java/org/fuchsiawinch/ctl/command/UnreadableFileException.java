package org.fuchsiawinch.ctl.command;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a file that cannot be read. */
public final class UnreadableFileException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file name of the file as given
     * @param cause error of the file system, or of a name that is not a valid path
     */
    public UnreadableFileException(String file, Throwable cause) {
        super(file + " cannot be read: " + cause, cause);
    }
}
