package org.fuchsiawinch.replay.engine;

/**
 * Seeded delays that depend on what they are for and not on the order of calls, so that two policies see the same
 * delays for the same parts.
 */
final class Jitter {

    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private final long seed;

    Jitter(long seed) {
        this.seed = seed;
    }

    /** Gives a delay in ms from 0 up to, not including, the bound. */
    long ms(String purpose, Object subject, int bound) {
        return Math.floorMod(
                mix(seed * GOLDEN_GAMMA
                        + purpose.hashCode() * 31L
                        + subject.toString().hashCode()),
                bound);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
