package org.fuchsiawinch.protocol.node;

import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.fold.JobEntry;

/** Reply to a caller or operator. */
public sealed interface NodeReply {

    /**
     * Current state of the job, with its outcome once that is final.
     *
     * @param job the job
     */
    record Job(JobEntry job) implements NodeReply {}

    /** The job is not known to the node. */
    record UnknownJob() implements NodeReply {}

    /**
     * The request had no effect: it did not and will not cause any work to run.
     *
     * @param code why the request was refused
     * @param retryAfterMs time in ms after which to retry; empty if a retry does not help
     */
    record Refused(RefusalCode code, OptionalLong retryAfterMs) implements NodeReply {}

    /** The request may or may not take effect; the caller should look the job up by its id. */
    record Pending() implements NodeReply {}

    /**
     * Result of a document change.
     *
     * @param version version in force after the change was applied or refused; 0 if there is none
     * @param refusal why the change was refused; empty if it took effect
     */
    record DocumentJudged(int version, Optional<DocumentFold.Refusal> refusal) implements NodeReply {}

    /** Reasons for which a request is refused. */
    enum RefusalCode {
        /** No document is in force. */
        NO_DOCUMENT,
        /** The document does not define the workspace. */
        UNKNOWN_WORKSPACE,
        /** The log cannot be read or appended to. */
        LOG_UNAVAILABLE,
        /** The node has not read the log to its end yet. */
        NOT_READY,
        /** The node is stopping and accepts no new work. */
        DRAINING,
        /** The job id was already used for a different job. */
        KEY_REUSED,
        /** Too many records are waiting to be appended to the log. */
        OVERLOADED,
        /** The deadline has passed, or the job is not idempotent and has no deadline. */
        DEADLINE,
        /** The job is already finished. */
        FINISHED
    }
}
