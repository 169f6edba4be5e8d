package org.fuchsiawinch.workflow.owner;

/** Health of a worker: its estimated speed, and its quarantine after failed or stalled runs. Not thread-safe. */
final class WorkerHealth {

    /**
     * Upper bound of the natural logarithm of a speed: workers differ by a factor of 2.5. The lower bound allows for
     * workers that become 7 times slower.
     */
    private static final double MAX_LOG_SPEED = 0.9;

    private static final double MIN_LOG_SPEED = -2;

    /** Prior variance of the logarithm of a speed. */
    private static final double SPEED_VARIANCE = 0.12;

    /** Variance added with each observation, so that a worker that becomes slow is detected. */
    private static final double SPEED_DRIFT = 0.004;

    /** Number of consecutive failures without a success in between after which a worker is quarantined. */
    private static final int FAILURES = 2;

    /** Duration of the first quarantine in ms; it doubles with each further one until a run succeeds. */
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

    /** Returns the estimated speed, relative to 1 for a worker without observations. */
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

    /** Restores the log speed that an earlier owner learned. */
    void restoreLogSpeed(double learned) {
        logSpeed = new Belief(learned, SPEED_VARIANCE / 2);
    }

    void done() {
        failuresOnEnd = 0;
        quarantines = 0;
        proven = true;
    }

    /** Records a failure; returns whether the worker is quarantined for it. */
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
