package org.fuchsiawinch.node.loop;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports that too many inputs wait for the node's main thread. */
public final class LoopFullException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public LoopFullException() {
        super("too many inputs wait");
    }
}
