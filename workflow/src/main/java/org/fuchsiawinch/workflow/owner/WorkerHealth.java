package org.fuchsiawinch.workflow.owner;

/** Health of a worker: its estimated speed, and its quarantine after failed or stalled runs. Not thread-safe. */
final class WorkerHealth {

    /** Upper bound of the natural logarithm of a speed; workers differ by a factor of 2.5. */
    private static final double MAX_LOG_SPEED = 0.9;

    /** Lower bound of the natural logarithm of a speed; a worker may become 7 times slower. */
    private static final double MIN_LOG_SPEED = -2;

    /** Prior variance of the logarithm of a speed. */
    private static final double PRIOR_SPEED_VARIANCE = 0.12;

    /** Variance added with each observation, so that a worker that becomes slow is detected. */
    private static final double SPEED_DRIFT_VARIANCE = 0.004;

    /** Number of consecutive failed runs after which a worker is quarantined. */
    private static final int QUARANTINE_FAILURES = 2;

    /** Duration of the first quarantine in ms; it doubles with each further one until a run succeeds. */
    private static final long FIRST_QUARANTINE_MS = 3000;

    /** Maximum number of doublings; limits a quarantine to 24 s. */
    private static final int MAX_QUARANTINE_DOUBLINGS = 3;

    private GaussianEstimate logSpeed = new GaussianEstimate(0, PRIOR_SPEED_VARIANCE);
    private int consecutiveFailures;
    private int quarantines;
    private long quarantinedUntilMs;
    private boolean proven;

    /** Clears failures, successes and quarantine after a restart of the worker; the estimated speed stays. */
    void reset() {
        consecutiveFailures = 0;
        quarantinedUntilMs = 0;
        proven = false;
    }

    /** Returns the estimated speed, relative to 1 for a worker without observations. */
    double speed() {
        return Math.exp(Math.max(MIN_LOG_SPEED, Math.min(MAX_LOG_SPEED, logSpeed.mean())));
    }

    GaussianEstimate logSpeed() {
        return logSpeed;
    }

    /** Returns whether a run has succeeded since the worker's start and none has failed since the last success. */
    boolean proven() {
        return proven && consecutiveFailures == 0;
    }

    boolean quarantined(long nowMs) {
        return nowMs < quarantinedUntilMs;
    }

    void updateSpeed(double innovation, double innovationVariance) {
        logSpeed.update(innovation, innovationVariance);
        logSpeed.inflateVariance(SPEED_DRIFT_VARIANCE, PRIOR_SPEED_VARIANCE);
    }

    /** Restores the log speed that an earlier owner learned, with half the prior variance. */
    void restoreLogSpeed(double learned) {
        logSpeed = new GaussianEstimate(learned, PRIOR_SPEED_VARIANCE / 2);
    }

    void runSucceeded() {
        consecutiveFailures = 0;
        quarantines = 0;
        proven = true;
    }

    /** Records a failure; returns whether the worker is quarantined for it. */
    boolean runFailed(long nowMs) {
        consecutiveFailures++;
        if (consecutiveFailures < QUARANTINE_FAILURES) {
            return false;
        }
        quarantine(nowMs);
        return true;
    }

    /** Starts a quarantine, twice as long as the previous one since the last success. */
    void quarantine(long nowMs) {
        quarantinedUntilMs = nowMs + (FIRST_QUARANTINE_MS << Math.min(quarantines, MAX_QUARANTINE_DOUBLINGS));
        quarantines++;
    }
}
