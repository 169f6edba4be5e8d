package org.fuchsiawinch.model;

/** How close to each other the parts of a gang must be placed. */
public enum Adjacency {
    /** All parts on one worker. */
    WORKER,
    /** All parts within one rack. */
    RACK,
    /** All parts within one data centre. */
    DATA_CENTRE
}
