package org.fuchsiawinch.core.internal;

/**
 * Expected run time of an attempt on its workers.
 *
 * @param runMs corrected run time in ms
 * @param worstMs run time in ms at which the attempt is ended, or the longest that is reckoned with
 * @param factor correction factor between declared and corrected run time
 */
record RunEstimate(long runMs, long worstMs, double factor) {}
