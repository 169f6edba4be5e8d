package org.fuchsiawinch.workflow.record;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Thrown when a record of a cell's stream cannot be decoded. */
public final class RecordFormatException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param key key of the record
     * @param problem description of the problem
     * @param cause exception of the decoder, or null
     */
    public RecordFormatException(String key, String problem, Throwable cause) {
        super("record " + key + ": " + problem, cause);
    }
}
