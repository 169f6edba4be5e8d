package org.fuchsiawinch.runtime;

import java.util.function.LongSupplier;

/**
 * Writes at most a fixed number of events per second. Further events are suppressed, and their number is logged before
 * the first event of the next second. Not thread-safe.
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
     * @param log log that the events are written to
     * @param linesPerSecond maximum number of lines in each second
     * @param clock source of the present time in ms
     */
    public RateLimitedEventLog(EventLog log, int linesPerSecond, LongSupplier clock) {
        this.log = log;
        this.linesPerSecond = linesPerSecond;
        this.clock = clock;
        this.windowStartMs = clock.getAsLong();
    }

    /**
     * Writes an event, or suppresses it if the maximum for the current second is reached.
     *
     * @param event name of the event
     * @param pairs alternating keys and values
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
