package org.fuchsiawinch.model;

/**
 * Limits of the queues of waiting jobs.
 *
 * @param totalQueueBound maximum number of waiting jobs over all workspaces; guaranteed work is admitted beyond it
 * @param retryAfterMs minimum retry time in ms returned to a refused caller
 */
public record AdmissionPolicy(int totalQueueBound, long retryAfterMs) {}
