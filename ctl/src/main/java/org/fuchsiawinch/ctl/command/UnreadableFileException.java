package org.fuchsiawinch.ctl.command;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a file that cannot be read. */
public final class UnreadableFileException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file name of the file as given
     * @param cause what the file system reported
     */
    public UnreadableFileException(String file, Throwable cause) {
        super(file + " cannot be read: " + cause, cause);
    }
}
