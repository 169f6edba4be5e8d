package org.fuchsiawinch.workflow.owner;

/** What came of an order to start. */
public enum StartOutcome {
    /** The run is on the worker. */
    STARTED,
    /** Refused: the worker knows a higher epoch. */
    FENCED,
    /** Refused: this run, or a later one, has ended or been stopped there. */
    SUPERSEDED,
    /** Refused: the lease in the order has expired. */
    EXPIRED,
    /** Refused: there is no room. */
    NO_ROOM,
    /** Refused: the worker is not well, is another life, or does not accept the order. */
    REJECTED,
    /** No answer: it may have been carried out, or may still be. */
    UNANSWERED
}
