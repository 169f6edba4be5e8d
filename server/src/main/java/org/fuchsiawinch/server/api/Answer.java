package org.fuchsiawinch.server.api;

import org.fuchsiawinch.workflow.job.JobPhase;

/** What a caller is told. */
public sealed interface Answer {

    /** The job is accepted and stored, now or earlier. */
    record Accepted() implements Answer {}

    /**
     * The phase of a job.
     *
     * @param phase the phase
     */
    record State(JobPhase phase) implements Answer {}

    /**
     * How many jobs of a queue wait.
     *
     * @param pending number of jobs of which nothing has started
     */
    record Pending(int pending) implements Answer {}

    /** The job is cancelled, or will be at once. */
    record Cancelled() implements Answer {}

    /** There is no such job. */
    record NoSuchJob() implements Answer {}

    /** There is no such queue. */
    record NoSuchQueue() implements Answer {}

    /** The key belongs to no workspace. */
    record UnknownKey() implements Answer {}

    /**
     * The request cannot be understood.
     *
     * @param problem what is wrong, and where
     */
    record Malformed(String problem) implements Answer {}

    /**
     * The request was not carried out and never will be.
     *
     * @param cause why
     * @param retryAfterS when to come back, in s
     */
    record Unavailable(String cause, int retryAfterS) implements Answer {}

    /** It is not known whether the request was carried out; repeating it is safe. */
    record Uncertain() implements Answer {}
}
