package org.fuchsiawinch.runtime;

import java.util.function.LongSupplier;

/**
 * Writes events up to a rate; counts what goes beyond it, and says so once a second. Not thread-safe; used by one
 * thread.
 */
public final class BoundedEventLog {

    private static final long WINDOW_MS = 1000;

    private final EventLog log;
    private final int linesPerSecond;
    private final LongSupplier clock;
    private long windowMs;
    private int written;
    private long suppressed;

    /**
     * Creates a log.
     *
     * @param log takes the events
     * @param linesPerSecond most lines in a second
     * @param clock present time in ms
     */
    public BoundedEventLog(EventLog log, int linesPerSecond, LongSupplier clock) {
        this.log = log;
        this.linesPerSecond = linesPerSecond;
        this.clock = clock;
        this.windowMs = clock.getAsLong();
    }

    /**
     * Writes an event, unless this second's lines are used up.
     *
     * @param event name of the event
     * @param pairs keys and values in turn
     */
    public void info(String event, Object... pairs) {
        long nowMs = clock.getAsLong();
        if (nowMs - windowMs >= WINDOW_MS) {
            windowMs = nowMs;
            written = 0;
            if (suppressed > 0) {
                log.warn("log-lines-suppressed", "lines", suppressed);
                suppressed = 0;
            }
        }
        if (written >= linesPerSecond) {
            suppressed++;
            return;
        }
        written++;
        log.info(event, pairs);
    }
}
