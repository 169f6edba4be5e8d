package org.fuchsiawinch.workflow.owner;

import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.TaskRun;

/** State that the owner keeps of one worker. Not thread-safe. */
final class WorkerState {

    /** Silence in ms after which a worker gets no new work; a renewal waits up to 2 s. */
    private static final long SILENT_MS = 2800;

    final WorkerId id;
    final Map<TaskRun, ActiveRun> runs = new LinkedHashMap<>();
    final WorkerHealth health = new WorkerHealth();
    WorkerRegistration registration;
    boolean listed;
    boolean renewing;
    boolean failing;
    long retryAtMs;
    boolean known;
    long incarnation;
    long clockMs;
    long clockReadMs;
    long clockSentMs;
    long leaseEndMs;
    long contactMs;
    long seenSequence;
    long acknowledged;
    Resources used = Resources.NONE;

    WorkerState(WorkerId id, long nowMs) {
        this.id = id;
        this.contactMs = nowMs;
    }

    void add(ActiveRun run) {
        runs.put(run.run, run);
        used = used.plus(run.need);
    }

    void remove(ActiveRun run) {
        if (runs.remove(run.run) != null) {
            used = used.minus(run.need);
        }
    }

    Resources free() {
        return registration.capacity().minus(used);
    }

    boolean usable(long nowMs) {
        return listed
                && known
                && !registration.leaving()
                && nowMs - contactMs <= SILENT_MS
                && !health.quarantined(nowMs);
    }

    /**
     * Returns the end of a lease that starts now, on the worker's clock as extrapolated from its last report. The clock
     * may be ahead of this estimate, never behind it.
     */
    long leaseEnd(long leaseMs, long nowMs) {
        return clockMs + (nowMs - clockReadMs) + leaseMs;
    }

    /** Returns whether the worker's lease has certainly expired, even if its clock runs slow by the maximum drift. */
    boolean leaseExpired(long nowMs) {
        return known && clockMs + (nowMs - clockReadMs) * (1 - OwnerSettings.CLOCK_DRIFT) > leaseEndMs;
    }

    void noteLease(long endMs) {
        leaseEndMs = Math.max(leaseEndMs, endMs);
    }

    void readClock(long reportedMs, long nowMs) {
        clockMs = reportedMs;
        clockReadMs = nowMs;
        contactMs = nowMs;
    }

    void newLife(long newIncarnation) {
        known = true;
        incarnation = newIncarnation;
        leaseEndMs = 0;
        seenSequence = 0;
        acknowledged = 0;
        health.reset();
    }
}
