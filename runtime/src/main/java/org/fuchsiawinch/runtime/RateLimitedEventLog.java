package org.fuchsiawinch.runtime;

import java.util.function.LongSupplier;

/**
 * Writes events up to a rate; counts what goes beyond it, and says so once a second. Not thread-safe; used by one
 * thread.
 */
public final class RateLimitedEventLog {

    private static final long RATE_WINDOW_MS = 1000;

    private final EventLog log;
    private final int linesPerSecond;
    private final LongSupplier clock;
    private long windowStartMs;
    private int writtenLines;
    private long suppressedLines;

    /**
     * Creates a log.
     *
     * @param log takes the events
     * @param linesPerSecond most lines in a second
     * @param clock present time in ms
     */
    public RateLimitedEventLog(EventLog log, int linesPerSecond, LongSupplier clock) {
        this.log = log;
        this.linesPerSecond = linesPerSecond;
        this.clock = clock;
        this.windowStartMs = clock.getAsLong();
    }

    /**
     * Writes an event, unless this second's lines are used up.
     *
     * @param event name of the event
     * @param pairs keys and values in turn
     */
    public void info(String event, Object... pairs) {
        long nowMs = clock.getAsLong();
        if (nowMs - windowStartMs >= RATE_WINDOW_MS) {
            windowStartMs = nowMs;
            writtenLines = 0;
            if (suppressedLines > 0) {
                log.warn("log-lines-suppressed", "lines", suppressedLines);
                suppressedLines = 0;
            }
        }
        if (writtenLines >= linesPerSecond) {
            suppressedLines++;
            return;
        }
        writtenLines++;
        log.info(event, pairs);
    }
}
