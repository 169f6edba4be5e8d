package org.fuchsiawinch.workflow.owner;

/** How well a worker does: its speed, and whether it fails or stalls what it runs. Not thread-safe. */
final class WorkerHealth {

    /**
     * Bounds of a believable speed, as natural logarithms: workers differ by 2.5 times, and may turn 7 times slower.
     */
    private static final double MAX_LOG_SPEED = 0.9;

    private static final double MIN_LOG_SPEED = -2;

    /** Variance of the logarithm of a speed of which nothing is known. */
    private static final double SPEED_VARIANCE = 0.12;

    /** Variance that a speed gains with each observation, so that a worker that turns slow is noticed. */
    private static final double SPEED_DRIFT = 0.004;

    /** Failures on end of a worker that has just finished nothing, after which it is quarantined. */
    private static final int FAILURES = 2;

    /** First quarantine in ms; each further one lasts twice as long. */
    private static final long QUARANTINE_MS = 3000;

    private static final int MAX_DOUBLINGS = 3;

    private Belief logSpeed = new Belief(0, SPEED_VARIANCE);
    private int failuresOnEnd;
    private int quarantines;
    private long quarantinedUntilMs;
    private boolean proven;

    void reset() {
        failuresOnEnd = 0;
        quarantinedUntilMs = 0;
        proven = false;
    }

    /** Gives the speed: how many times as fast the worker is as one of which nothing is known. */
    double speed() {
        return Math.exp(Math.max(MIN_LOG_SPEED, Math.min(MAX_LOG_SPEED, logSpeed.mean())));
    }

    Belief logSpeed() {
        return logSpeed;
    }

    boolean proven() {
        return proven && failuresOnEnd == 0;
    }

    boolean quarantined(long nowMs) {
        return nowMs < quarantinedUntilMs;
    }

    void learnSpeed(double surprise, double total) {
        logSpeed.learn(surprise, total);
        logSpeed.drift(SPEED_DRIFT, SPEED_VARIANCE);
    }

    /** Takes over what an earlier owner learned. */
    void restoreLogSpeed(double learned) {
        logSpeed = new Belief(learned, SPEED_VARIANCE / 2);
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
