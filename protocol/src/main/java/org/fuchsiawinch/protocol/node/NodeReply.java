package org.fuchsiawinch.protocol.node;

import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.fold.JobEntry;

/** Answer to a caller or operator. */
public sealed interface NodeReply {

    /**
     * The job as it stands; its outcome is present once final.
     *
     * @param job the job
     */
    record Job(JobEntry job) implements NodeReply {}

    /** No record of the job was read. */
    record UnknownJob() implements NodeReply {}

    /**
     * The request had no effect: the work did not run and will not because of it.
     *
     * @param code why
     * @param retryAfterMs time in ms after which to retry
     */
    record Refused(RefusalCode code, OptionalLong retryAfterMs) implements NodeReply {}

    /** The request may or may not take effect; ask again by the job's id. */
    record Pending() implements NodeReply {}

    /**
     * A document change was judged.
     *
     * @param version version in force afterwards
     * @param refusal why it was refused; empty if it is in force
     */
    record DocumentJudged(int version, Optional<DocumentFold.Refusal> refusal) implements NodeReply {}

    /** Why a request had no effect. */
    enum RefusalCode {
        /** No document is in force. */
        NO_DOCUMENT,
        /** The workspace is not in the document. */
        UNKNOWN_WORKSPACE,
        /** The log does not take records. */
        LOG_UNAVAILABLE,
        /** The node has not read the log to its end yet. */
        NOT_READY,
        /** The node is stopping. */
        DRAINING,
        /** The job id stands for a different job. */
        KEY_REUSED,
        /** Too many records wait for the log. */
        OVERLOADED,
        /** The deadline has passed, or a non-idempotent job has none. */
        DEADLINE,
        /** The job is finished. */
        FINISHED
    }
}
