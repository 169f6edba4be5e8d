package org.fuchsiawinch.report.burn;

/**
 * Pairs of windows over which the burn rate is taken. An alert fires when the burn rate is at its threshold or above in
 * both windows: the long one shows that it matters, the short one that it still goes on. Windows are parts of the
 * service level's own window, so that a window of 30 days has pairs of 1 h and 5 min, 6 h and 30 min, 3 d and 6 h.
 */
public enum BurnAlert {
    /** Spends 2% of the budget in 1/720 of the window. */
    FAST(720, 0.02),
    /** Spends 5% of the budget in 1/120 of the window. */
    SLOW(120, 0.05),
    /** Spends 10% of the budget in 1/10 of the window. */
    CREEPING(10, 0.10);

    private static final int SHORT_WINDOW_DIVISOR = 12;
    private static final long LEAST_WINDOW_MS = 1_000;

    private final int divisor;
    private final double budgetShare;

    BurnAlert(int divisor, double budgetShare) {
        this.divisor = divisor;
        this.budgetShare = budgetShare;
    }

    /** Returns the long window in ms for a service level's window in ms. */
    public long longWindowMs(long windowMs) {
        return Math.max(LEAST_WINDOW_MS, windowMs / divisor);
    }

    /** Returns the short window in ms for a service level's window in ms. */
    public long shortWindowMs(long windowMs) {
        return Math.max(LEAST_WINDOW_MS, windowMs / divisor / SHORT_WINDOW_DIVISOR);
    }

    /** Returns the burn rate from which on the alert fires; 1 spends the budget just at the end of the window. */
    public double threshold() {
        return budgetShare * divisor;
    }
}
