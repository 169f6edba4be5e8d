package org.fuchsiawinch.server;

import java.util.function.LongSupplier;

/**
 * Monotonic clock anchored to the wall-clock time at the start of the process. It stands still while the machine is
 * suspended; {@link #takeSuspensionMs()} tells how long that was. Thread-safe.
 */
public final class NodeClock {

    private static final long NANOS_PER_MS = 1_000_000;

    /** Growth in ms of the wall clock's lead that counts as a suspension; above that of an adjusted clock. */
    private static final long MIN_SUSPENSION_MS = 500;

    private final LongSupplier wallMs;
    private final LongSupplier monotonicNanos;
    private final long anchorMs;
    private final long anchorNanos;

    /** Lead in ms of the wall clock over this one at the last check. */
    private long wallLeadMs;

    /** Creates a clock of the system's clocks. */
    public NodeClock() {
        this(System::currentTimeMillis, System::nanoTime);
    }

    /**
     * Creates a clock anchored to the present readings.
     *
     * @param wallMs supplies the wall clock's Unix time in ms
     * @param monotonicNanos supplies a monotonic time in ns that stands still while the machine is suspended
     */
    public NodeClock(LongSupplier wallMs, LongSupplier monotonicNanos) {
        this.wallMs = wallMs;
        this.monotonicNanos = monotonicNanos;
        this.anchorMs = wallMs.getAsLong();
        this.anchorNanos = monotonicNanos.getAsLong();
    }

    /**
     * Returns the present time, which never decreases.
     *
     * @return Unix time in ms; later changes of the wall clock have no effect
     */
    public long nowMs() {
        return anchorMs + (monotonicNanos.getAsLong() - anchorNanos) / NANOS_PER_MS;
    }

    /**
     * Returns for how long the machine has been suspended since the last call. A wall clock that is set forward looks
     * the same.
     *
     * @return the time in ms; 0 if it has not been suspended
     */
    public synchronized long takeSuspensionMs() {
        long leadMs = wallMs.getAsLong() - nowMs();
        long grownMs = leadMs - wallLeadMs;
        wallLeadMs = leadMs;
        return grownMs >= MIN_SUSPENSION_MS ? grownMs : 0;
    }
}
