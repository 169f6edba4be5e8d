package org.fuchsiawinch.server.api;

import org.fuchsiawinch.workflow.job.JobPhase;

/** Result of a caller's request. */
public sealed interface Answer {

    /** The job is accepted and stored, by this request or an earlier one. */
    record Accepted() implements Answer {}

    /**
     * Phase of a job.
     *
     * @param phase the phase
     */
    record State(JobPhase phase) implements Answer {}

    /**
     * Number of jobs waiting in a queue.
     *
     * @param pending number of jobs none of whose tasks has started
     */
    record Pending(int pending) implements Answer {}

    /** The job has ended or its cancellation is stored; the owner then stops its tasks. */
    record Cancelled() implements Answer {}

    /** The job does not exist or belongs to another workspace. */
    record NoSuchJob() implements Answer {}

    /** No queue matches the host and path of the request. */
    record NoSuchQueue() implements Answer {}

    /** The key is missing or belongs to no workspace. */
    record UnknownKey() implements Answer {}

    /**
     * The request is not valid.
     *
     * @param problem location and description of the error
     */
    record Malformed(String problem) implements Answer {}

    /**
     * The request was not carried out and never will be.
     *
     * @param cause code of the reason
     * @param retryAfterS time in s after which the caller should retry
     */
    record Unavailable(String cause, int retryAfterS) implements Answer {}

    /** The request may have been carried out, or may still be; repeating it is safe. */
    record Uncertain() implements Answer {}
}
