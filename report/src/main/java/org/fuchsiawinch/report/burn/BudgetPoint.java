package org.fuchsiawinch.report.burn;

/**
 * Error budget used up to a point in time.
 *
 * @param atMs the time, in ms since the Unix epoch
 * @param used bad events in the window up to that time, divided by the bad events allowed in the whole window
 */
public record BudgetPoint(long atMs, double used) {}
