package org.fuchsiawinch.core.internal;

/** Prices over time. */
final class Prices {

    private static final long MS_PER_HOUR = 3_600_000;

    private Prices() {}

    /** Price in millionths of the currency unit of a time in ms at a rate for an hour, rounded up. */
    static long of(long microsPerHour, long durationMs) {
        if (microsPerHour == 0 || durationMs <= 0) {
            return 0;
        }
        double price = (double) microsPerHour * durationMs / MS_PER_HOUR;
        return (long) Math.ceil(price);
    }
}
