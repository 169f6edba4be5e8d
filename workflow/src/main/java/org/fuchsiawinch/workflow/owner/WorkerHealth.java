package org.fuchsiawinch.workflow.owner;

/** How well a worker does: its speed, and whether it fails or stalls what it runs. Not thread-safe. */
final class WorkerHealth {

    /** Weight of a newer observation of the speed; ten observations outweigh the first guess. */
    private static final double SPEED_WEIGHT = 0.2;

    /** Bounds of a believable speed, relative to the callers' estimates. */
    private static final double MIN_SPEED = 0.05;

    private static final double MAX_SPEED = 5;

    /** Failures on end of a worker that has just finished nothing, after which it is quarantined. */
    private static final int FAILURES = 2;

    /** First quarantine in ms; each further one lasts twice as long. */
    private static final long QUARANTINE_MS = 3000;

    private static final int MAX_DOUBLINGS = 3;

    private double speed = 1;
    private int failuresOnEnd;
    private int quarantines;
    private long quarantinedUntilMs;
    private boolean proven;

    void reset() {
        failuresOnEnd = 0;
        quarantinedUntilMs = 0;
        proven = false;
    }

    double speed() {
        return speed;
    }

    boolean proven() {
        return proven && failuresOnEnd == 0;
    }

    boolean quarantined(long nowMs) {
        return nowMs < quarantinedUntilMs;
    }

    void observeSpeed(double observed) {
        double bounded = Math.max(MIN_SPEED, Math.min(MAX_SPEED, observed));
        speed += SPEED_WEIGHT * (bounded - speed);
    }

    void done() {
        failuresOnEnd = 0;
        quarantines = 0;
        proven = true;
    }

    /** Counts a failure; true if the worker is quarantined for it. */
    boolean failed(long nowMs) {
        failuresOnEnd++;
        if (failuresOnEnd < FAILURES) {
            return false;
        }
        quarantine(nowMs);
        return true;
    }

    void quarantine(long nowMs) {
        quarantinedUntilMs = nowMs + (QUARANTINE_MS << Math.min(quarantines, MAX_DOUBLINGS));
        quarantines++;
    }
}
