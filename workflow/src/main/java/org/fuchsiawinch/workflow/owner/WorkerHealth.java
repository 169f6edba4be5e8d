package org.fuchsiawinch.workflow.owner;

import java.util.LinkedHashMap;
import java.util.Map;

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

    /** Number of failed runs since the last success after which a worker is quarantined. */
    private static final int QUARANTINE_FAILURES = 2;

    /** Duration of the first quarantine in ms; it doubles with each further one until a run succeeds. */
    private static final long FIRST_QUARANTINE_MS = 3000;

    /** Maximum number of doublings; limits a quarantine to 24 s. */
    private static final int MAX_QUARANTINE_DOUBLINGS = 3;

    /** Maximum number of jobs whose failures are kept; the earliest is dropped first. */
    private static final int MAX_FAILED_JOBS = 32;

    /** Number of failed runs since the last success, by id of the job. */
    private final Map<String, Integer> failures = new LinkedHashMap<>();

    private GaussianEstimate logSpeed = new GaussianEstimate(0, PRIOR_SPEED_VARIANCE);
    private int quarantines;
    private long quarantinedUntilMs;

    /** Whether the latest quarantine was for failed runs. */
    private boolean quarantinedForFailures;

    private boolean proven;

    /** Clears failures, successes and quarantine after a restart of the worker; the estimated speed stays. */
    void reset() {
        failures.clear();
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

    /** Returns whether a run has succeeded since the worker's start and no failure counts since the last success. */
    boolean proven() {
        return proven && failures.isEmpty();
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
        failures.clear();
        quarantines = 0;
        quarantinedForFailures = false;
        proven = true;
    }

    /** Records a failure of a run that began at a time in ms; returns whether the worker is quarantined for it. */
    boolean runFailed(String job, long startedMs, long nowMs) {
        failures.merge(job, 1, Integer::sum);
        if (failures.size() > MAX_FAILED_JOBS) {
            failures.remove(failures.keySet().iterator().next());
        }
        if (failureCount() < QUARANTINE_FAILURES || !quarantine(startedMs, nowMs)) {
            return false;
        }
        quarantinedForFailures = true;
        return true;
    }

    private int failureCount() {
        return failures.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Forgets the failures of a job that is at fault itself, and ends the quarantine if too few others remain. */
    void forgetFailures(String job) {
        if (failures.remove(job) == null || !quarantinedForFailures || failureCount() >= QUARANTINE_FAILURES) {
            return;
        }
        quarantinedForFailures = false;
        quarantinedUntilMs = 0;
        quarantines--;
    }

    /**
     * Starts a quarantine for a run that began at a time in ms, twice as long as the previous one since the last
     * success; returns whether it did. A run that began before the end of the previous one shows nothing new.
     */
    boolean quarantine(long startedMs, long nowMs) {
        if (startedMs < quarantinedUntilMs) {
            return false;
        }
        quarantinedUntilMs = nowMs + (FIRST_QUARANTINE_MS << Math.min(quarantines, MAX_QUARANTINE_DOUBLINGS));
        quarantines++;
        quarantinedForFailures = false;
        return true;
    }
}
