package org.fuchsiawinch.server.port;

/** Streams that a node reads. In each, the newest entry of a key is kept for good. */
public enum Stream {
    /** Records of the cell, written by the nodes. */
    CELL,
    /** List of workers, written by the workers. */
    WORKERS,
    /** The operators' document. */
    OPERATOR
}
