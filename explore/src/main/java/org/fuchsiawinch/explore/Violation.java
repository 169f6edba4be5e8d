package org.fuchsiawinch.explore;

/**
 * A promise that a history breaks.
 *
 * @param promise the promise
 * @param atMs virtual time in ms
 * @param detail what was seen
 */
record Violation(Promise promise, long atMs, String detail) {

    /** Promises that the checker judges. */
    enum Promise {
        /** No part of a gang starts before all parts are taken, and none runs on for long without the rest. */
        GANG_WHOLE,
        /** A job that is reported as not run has not run. */
        NOT_RUN_MEANS_NOT_RUN,
        /** A non-idempotent job runs at most once. */
        AT_MOST_ONCE,
        /** An answer is whole, and the same for all who ask. */
        WHOLE_ANSWER,
        /** An outcome does not change once reported. */
        OUTCOME_STABLE,
        /** A leaving worker gets no new part after a bound. */
        LEAVING_GETS_NOTHING,
        /** No worker is given more than it has. */
        NO_OVERCOMMIT,
        /** A document version never goes back, and is the same on all nodes. */
        DOCUMENT_MONOTONE,
        /** At most one change is accepted on one base version. */
        DOCUMENT_ONE_WINNER,
        /** An accepted document is in force on all nodes within a bound. */
        DOCUMENT_IN_FORCE,
        /** A planned stop leaves no request open and ends. */
        DRAIN_CUTS_NOTHING,
        /** Every caller learns how its job ended. */
        JOB_SETTLES,
        /** The node's code throws nothing. */
        NO_EXCEPTION
    }
}
