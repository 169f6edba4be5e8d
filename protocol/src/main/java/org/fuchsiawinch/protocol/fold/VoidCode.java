package org.fuchsiawinch.protocol.fold;

/** Why a record has no effect. */
public enum VoidCode {
    /** The writer's sequence was seen before: an append was repeated. */
    DUPLICATE_RECORD,
    /** The epoch is not the cell's present epoch, or the writer is not its owner. */
    STALE_EPOCH,
    /** The job is known already. */
    DUPLICATE_JOB,
    /** The job is not known. */
    UNKNOWN_JOB,
    /** The job is not in the status that the record needs. */
    WRONG_STATUS,
    /** The attempt is not the current or next one. */
    WRONG_ATTEMPT,
    /** Another attempt could run non-idempotent work twice. */
    NOT_REPEATABLE,
    /** The deadline of non-idempotent work had passed by the log's time. */
    PAST_DEADLINE,
    /** A chunk of the snapshot is missing before its end. */
    INCOMPLETE_SNAPSHOT,
    /** The document record breaks a rule of the document. */
    DOCUMENT_REFUSED,
    /** The record's kind is not known to this version. */
    UNRECOGNISED
}
