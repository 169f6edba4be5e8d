package org.fuchsiawinch.workflow.owner;

/** Outcome of a start order. */
public enum StartOutcome {
    /** The run was started, or was already on the worker. */
    STARTED,
    /** Refused: the worker knows a higher epoch. */
    FENCED,
    /** Refused: this run or a later run of the task has already ended or been stopped on the worker. */
    SUPERSEDED,
    /** Refused: the lease in the order has expired. */
    EXPIRED,
    /** Refused: the worker has no capacity. */
    NO_ROOM,
    /** Refused: the worker is unhealthy, has another incarnation or rejects the order. */
    REJECTED,
    /** Not sent: the permission to send it had ended before a connection was free. */
    WITHHELD,
    /** No answer: the order may have been carried out, or may still be. */
    UNANSWERED
}
