package org.fuchsiawinch.workflow.cell;

/** Largest value of the recent past: of the last window at least, and of the last two at most. Not thread-safe. */
public final class RecentMaximum {

    private final long windowMs;
    private long windowStartMs;
    private long current;
    private long previous;

    /**
     * Creates a maximum of no values.
     *
     * @param windowMs length of a window in ms
     * @param nowMs present time in ms
     */
    public RecentMaximum(long windowMs, long nowMs) {
        this.windowMs = windowMs;
        this.windowStartMs = nowMs;
    }

    /**
     * Adds a value.
     *
     * @param value the value, not negative
     * @param nowMs present time in ms
     */
    public void add(long value, long nowMs) {
        startDueWindow(nowMs);
        current = Math.max(current, value);
    }

    /**
     * Returns the largest recent value.
     *
     * @param nowMs present time in ms
     * @return the value; 0 if there is none
     */
    public long value(long nowMs) {
        startDueWindow(nowMs);
        return Math.max(current, previous);
    }

    private void startDueWindow(long nowMs) {
        long elapsedMs = nowMs - windowStartMs;
        if (elapsedMs < windowMs) {
            return;
        }
        previous = elapsedMs < 2 * windowMs ? current : 0;
        current = 0;
        windowStartMs = nowMs;
    }
}
