package org.fuchsiawinch.report.burn;

/**
 * Error budget used up to a moment.
 *
 * @param atMs the moment, in ms since the epoch
 * @param used bad events up to then, as a share of the bad events that the whole window allows
 */
public record BudgetPoint(long atMs, double used) {}
