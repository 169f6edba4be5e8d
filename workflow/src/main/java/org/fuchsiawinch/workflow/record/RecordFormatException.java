package org.fuchsiawinch.workflow.record;

import org.fuchsiawinch.model.FuchsiawinchException;

/** A record of the cell's stream cannot be read. */
public final class RecordFormatException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param key key of the record
     * @param problem what is wrong
     * @param cause what the decoder said, or null
     */
    public RecordFormatException(String key, String problem, Throwable cause) {
        super("record " + key + ": " + problem, cause);
    }
}
