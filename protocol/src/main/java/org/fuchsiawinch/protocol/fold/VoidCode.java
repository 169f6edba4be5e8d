package org.fuchsiawinch.protocol.fold;

/** Reasons for which a record is void, that is without effect. */
public enum VoidCode {
    /** The writer's sequence number was seen before, as the append was retried. */
    DUPLICATE_RECORD,
    /**
     * The writer does not own the cell in the record's epoch; for a claim, the epoch is not the next one or the owner
     * is not the writer.
     */
    STALE_EPOCH,
    /** The job is already known. */
    DUPLICATE_JOB,
    /** The job is not known, or it belongs to another cell. */
    UNKNOWN_JOB,
    /** The job is not in a status that allows the record. */
    WRONG_STATUS,
    /** The attempt is not the job's current one, or, for a placement, not its next one. */
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
