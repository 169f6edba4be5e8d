package org.fuchsiawinch.report.burn;

/**
 * Burn-rate alert over a long and a short window. An alert fires when the burn rate reaches its threshold in both
 * windows: the long one shows that the burn is significant, the short one that it is still going on. Window lengths are
 * fractions of the service level's own window; for 30 days they are 1 h and 5 min, 6 h and 30 min, 3 d and 6 h.
 */
public enum BurnAlert {
    /** Fires when 2% of the budget is used within 1/720 of the service level's window. */
    FAST(720, 0.02),
    /** Fires when 5% of the budget is used within 1/120 of the service level's window. */
    SLOW(120, 0.05),
    /** Fires when 10% of the budget is used within 1/10 of the service level's window. */
    CREEPING(10, 0.10);

    private static final int SHORT_WINDOW_DIVISOR = 12;
    /** Prevents empty windows, to which fractions of a very short service-level window would round down. */
    private static final long MIN_WINDOW_MS = 1_000;

    private final int windowDivisor;
    private final double budgetShare;

    BurnAlert(int windowDivisor, double budgetShare) {
        this.windowDivisor = windowDivisor;
        this.budgetShare = budgetShare;
    }

    /** Returns the length of the long window in ms; {@code windowMs} is the length of the service level's window. */
    public long longWindowMs(long windowMs) {
        return Math.max(MIN_WINDOW_MS, windowMs / windowDivisor);
    }

    /** Returns the length of the short window in ms; {@code windowMs} is the length of the service level's window. */
    public long shortWindowMs(long windowMs) {
        return Math.max(MIN_WINDOW_MS, windowMs / windowDivisor / SHORT_WINDOW_DIVISOR);
    }

    /** Returns the lowest burn rate at which the alert fires. A rate of 1 uses up the budget in the whole window. */
    public double threshold() {
        return budgetShare * windowDivisor;
    }
}
