package org.fuchsiawinch.explore;

/**
 * Violation of a promise by a history.
 *
 * @param promise the broken promise
 * @param atMs virtual time of the violation, in ms
 * @param detail description with the values observed
 */
record Violation(Promise promise, long atMs, String detail) {

    /** Promises that are checked. */
    enum Promise {
        /** No part of a gang starts before all are taken, and none runs beyond a bound after another is lost. */
        GANG_WHOLE,
        /** A job that is reported as not run has not run. */
        NOT_RUN_MEANS_NOT_RUN,
        /** A non-idempotent job runs at most once. */
        AT_MOST_ONCE,
        /** An answer contains the answers of all parts and is the same for all callers. */
        WHOLE_ANSWER,
        /** An outcome does not change once reported. */
        OUTCOME_STABLE,
        /** A leaving worker receives no new part after a bound. */
        LEAVING_GETS_NOTHING,
        /** The parts on a worker never exceed its capacity. */
        NO_OVERCOMMIT,
        /** The document version never decreases on a node, and a version has the same text on all nodes. */
        DOCUMENT_MONOTONE,
        /** At most one change is accepted on one base version. */
        DOCUMENT_ONE_WINNER,
        /** An accepted document is in force within a bound on all nodes that can read the log. */
        DOCUMENT_IN_FORCE,
        /** A drain answers all open requests and completes. */
        DRAIN_CUTS_NOTHING,
        /** Every caller receives the outcome of its job or a final refusal. */
        JOB_SETTLES,
        /** No unexpected exception is thrown. */
        NO_EXCEPTION
    }
}
