package org.fuchsiawinch.core.internal;

/**
 * Estimated run time of an attempt on its workers.
 *
 * @param runMs corrected run time in ms
 * @param worstCaseMs worst-case run time in ms: when the attempt is stopped if the policy bounds overruns, otherwise
 *     the longest that costs are reserved for
 * @param factor corrected run time divided by the declared one
 */
record RunEstimate(long runMs, long worstCaseMs, double factor) {}
