package org.fuchsiawinch.report.burn;

/**
 * Burn rates over the two windows of one alert.
 *
 * @param alert the alert
 * @param longWindowMs length of the long window, in ms
 * @param shortWindowMs length of the short window, in ms
 * @param longBurn burn rate over the long window; 1 uses exactly the budget in the service level's whole window
 * @param shortBurn burn rate over the short window
 * @param firing whether both burn rates reach the alert's threshold
 */
public record WindowBurn(
        BurnAlert alert, long longWindowMs, long shortWindowMs, double longBurn, double shortBurn, boolean firing) {}
