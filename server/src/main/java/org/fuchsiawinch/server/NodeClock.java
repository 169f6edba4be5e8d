package org.fuchsiawinch.server;

/** Time of a node: steady, and anchored to the time of day at its start. Thread-safe. */
public final class NodeClock {

    private static final long NANOS_PER_MS = 1_000_000;

    private final long anchorMs;
    private final long anchorNanos;

    /**
     * Anchors a clock.
     *
     * @param wallMs time of day in ms since the epoch
     * @param steadyNanos steady clock at the same moment, in ns
     */
    public NodeClock(long wallMs, long steadyNanos) {
        this.anchorMs = wallMs;
        this.anchorNanos = steadyNanos;
    }

    /**
     * Gives the present time; it never falls.
     *
     * @return time in ms since the epoch, as of the time of day at the start of the process
     */
    public long nowMs() {
        return anchorMs + (System.nanoTime() - anchorNanos) / NANOS_PER_MS;
    }
}
