package org.fuchsiawinch.report.burn;

/**
 * Burn rates over one pair of windows.
 *
 * @param alert the pair
 * @param longWindowMs length of the long window, in ms
 * @param shortWindowMs length of the short window, in ms
 * @param longBurn burn rate over the long window; 1 spends the budget just at the end of the service level's window
 * @param shortBurn burn rate over the short window
 * @param firing whether both are at the alert's threshold or above
 */
public record WindowBurn(
        BurnAlert alert, long longWindowMs, long shortWindowMs, double longBurn, double shortBurn, boolean firing) {}
