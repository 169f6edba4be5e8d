package org.fuchsiawinch.report.burn;

import java.util.List;

import org.fuchsiawinch.document.ServiceLevel;

/**
 * Error budget burn of one service level.
 *
 * @param level the service level
 * @param good number of good events in its window
 * @param bad number of bad events in its window
 * @param budgetLeft share of the error budget left; 1 if none is used, negative if it is overspent
 * @param windows burn rates for each alert
 * @param history error budget used at even intervals from the first event in the window to the report, oldest point
 *     first; empty without events
 */
public record ServiceLevelBurn(
        ServiceLevel level,
        long good,
        long bad,
        double budgetLeft,
        List<WindowBurn> windows,
        List<BudgetPoint> history) {

    /** Copies the lists. */
    public ServiceLevelBurn {
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

    /** Returns whether any alert is firing. */
    public boolean firing() {
        return windows.stream().anyMatch(WindowBurn::firing);
    }
}
