package org.fuchsiawinch.server.port;

/** Streams that a node reads. Each is compacted: the latest entry of a key is always retained. */
public enum Stream {
    /** Records of the cell; written by nodes. */
    CELL,
    /** Entries of the workers; written by the workers. */
    WORKERS,
    /** The operators' document; written by operators. */
    OPERATOR
}
