package org.fuchsiawinch.core.internal;

/** Price arithmetic. */
final class Prices {

    private static final long MS_PER_HOUR = 3_600_000;

    private Prices() {}

    /** Returns the price, in millionths of the currency unit and rounded up, of a duration at an hourly rate. */
    static long of(long microsPerHour, long durationMs) {
        if (microsPerHour == 0 || durationMs <= 0) {
            return 0;
        }
        double price = (double) microsPerHour * durationMs / MS_PER_HOUR;
        return (long) Math.ceil(price);
    }
}
