package org.fuchsiawinch.server;

/** Monotonic clock anchored to the wall-clock time at the start of the process. Thread-safe. */
public final class NodeClock {

    private static final long NANOS_PER_MS = 1_000_000;

    private final long anchorMs;
    private final long anchorNanos;

    /**
     * Creates a clock anchored to the given readings.
     *
     * @param wallMs wall-clock reading: Unix time in ms
     * @param monotonicNanos reading of {@link System#nanoTime()} at the same moment
     */
    public NodeClock(long wallMs, long monotonicNanos) {
        this.anchorMs = wallMs;
        this.anchorNanos = monotonicNanos;
    }

    /**
     * Returns the present time, which never decreases.
     *
     * @return Unix time in ms; later changes of the wall clock have no effect
     */
    public long nowMs() {
        return anchorMs + (System.nanoTime() - anchorNanos) / NANOS_PER_MS;
    }
}
