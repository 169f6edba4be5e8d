package org.fuchsiawinch.server;

/** Monotonic clock anchored to the wall-clock time at the start of the process. Thread-safe. */
public final class NodeClock {

    private static final long NANOS_PER_MS = 1_000_000;

    private final long anchorMs;
    private final long anchorNanos;

    /**
     * Creates a clock anchored to the given readings.
     *
     * @param wallMs wall-clock time in ms since 1970-01-01 UTC
     * @param steadyNanos reading of {@link System#nanoTime()} at the same moment
     */
    public NodeClock(long wallMs, long steadyNanos) {
        this.anchorMs = wallMs;
        this.anchorNanos = steadyNanos;
    }

    /**
     * Returns the present time, which never decreases.
     *
     * @return time in ms since 1970-01-01 UTC; later changes of the wall clock have no effect
     */
    public long nowMs() {
        return anchorMs + (System.nanoTime() - anchorNanos) / NANOS_PER_MS;
    }
}
