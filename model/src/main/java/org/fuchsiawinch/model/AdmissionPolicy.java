package org.fuchsiawinch.model;

/**
 * Bounds of the queues.
 *
 * @param totalQueueBound most jobs that may wait over all workspaces; guaranteed work is admitted past it
 * @param retryAfterMs least retry time in ms told to a refused caller
 */
public record AdmissionPolicy(int totalQueueBound, long retryAfterMs) {}
