package org.fuchsiawinch.replay.engine;

/**
 * Random delays hashed from seed, purpose and subject. They do not depend on the order of calls, so that two policies
 * get the same delay for the same subject even after their decisions diverge.
 */
final class Jitter {

    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private final long seed;

    Jitter(long seed) {
        this.seed = seed;
    }

    /** Returns a delay in ms from 0 (inclusive) to the bound (exclusive). */
    long delayMs(String purpose, Object subject, int bound) {
        return Math.floorMod(
                mix(seed * GOLDEN_GAMMA
                        + purpose.hashCode() * 31L
                        + subject.toString().hashCode()),
                bound);
    }

    /** Applies the finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
