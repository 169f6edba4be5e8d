package org.fuchsiawinch.protocol.fold;

/** Reasons for which a record is void, that is without effect. */
public enum VoidCode {
    /** The writer's sequence number was seen before, as the append was retried. */
    DUPLICATE_RECORD,
    /** The epoch is not the cell's current epoch, or the writer is not its owner. */
    STALE_EPOCH,
    /** The job is already known. */
    DUPLICATE_JOB,
    /** The job is not known, or it belongs to another cell. */
    UNKNOWN_JOB,
    /** The job is not in a status that allows the record. */
    WRONG_STATUS,
    /** The attempt is neither the current nor the next one of the job. */
    WRONG_ATTEMPT,
    /** Another attempt could run non-idempotent work twice. */
    NOT_REPEATABLE,
    /** The job is not idempotent and its deadline had passed by the latest time in the log. */
    PAST_DEADLINE,
    /** A chunk of the snapshot is missing. */
    INCOMPLETE_SNAPSHOT,
    /** The document record breaks a rule of the document. */
    DOCUMENT_REFUSED,
    /** This version does not know the record's kind. */
    UNRECOGNISED
}
