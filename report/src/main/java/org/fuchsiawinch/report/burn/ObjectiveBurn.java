package org.fuchsiawinch.report.burn;

import java.util.List;

import org.fuchsiawinch.document.ServiceLevel;

/**
 * Burn of one service level.
 *
 * @param level the service level
 * @param good good events in its window
 * @param bad bad events in its window
 * @param budgetLeft share of the error budget left; 1 if nothing is used, negative if it is overspent
 * @param windows burn rates over pairs of windows
 * @param history budget used over the window, oldest first
 */
public record ObjectiveBurn(
        ServiceLevel level,
        long good,
        long bad,
        double budgetLeft,
        List<WindowBurn> windows,
        List<BudgetPoint> history) {

    /** Copies the lists. */
    public ObjectiveBurn {
        windows = List.copyOf(windows);
        history = List.copyOf(history);
    }

    /** Returns the number of events in the window. */
    public long eventCount() {
        return good + bad;
    }

    /** Returns the share of good events; 1 without events. */
    public double goodShare() {
        return eventCount() == 0 ? 1 : (double) good / eventCount();
    }

    /** Returns whether any alert fires. */
    public boolean firing() {
        return windows.stream().anyMatch(WindowBurn::firing);
    }
}
