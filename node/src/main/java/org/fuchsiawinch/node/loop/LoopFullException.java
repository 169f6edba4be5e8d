package org.fuchsiawinch.node.loop;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports that the ring buffer of the node loop is full. */
public final class LoopFullException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public LoopFullException() {
        super("too many inputs wait");
    }
}
