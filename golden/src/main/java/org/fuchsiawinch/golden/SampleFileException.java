package org.fuchsiawinch.golden;

import java.nio.file.Path;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports a sample file that cannot be read or written. */
public final class SampleFileException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file the file
     * @param cause error reported by the file system
     */
    public SampleFileException(Path file, Throwable cause) {
        super(file + " cannot be read or written; is the working folder the one that holds samples?", cause);
    }
}
