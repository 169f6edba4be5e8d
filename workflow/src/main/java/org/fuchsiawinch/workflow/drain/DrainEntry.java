package org.fuchsiawinch.workflow.drain;

/**
 * Operators' request to drain a data centre, or its withdrawal.
 *
 * @param dataCentre the data centre
 * @param drained whether nothing more may start there; false for a withdrawal
 */
public record DrainEntry(String dataCentre, boolean drained) {}
