package org.fuchsiawinch.core.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.core.SchedulerFeatures;
import org.fuchsiawinch.model.FaultPolicy;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.WorkerId;

/**
 * Records failures by worker and job within a time window, to distinguish a faulty worker, on which different jobs
 * fail, from a poison job, which fails on different workers. Records outlast the loss and return of a worker. Not
 * thread-safe.
 */
final class FaultTracker {

    private static final long MAX_PROBE_DELAY_MS = 86_400_000;
    private static final int MAX_FAILURES_KEPT = 32;
    private static final int POISON_FAILURES_PER_WORKER = 3;

    private final boolean quarantineOn;
    private final boolean poisonOn;
    private final Map<WorkerId, ArrayDeque<Failure>> failures = new HashMap<>();
    private final Map<WorkerId, Long> lastSuccessMs = new HashMap<>();
    private final TreeMap<WorkerId, Quarantine> quarantined = new TreeMap<>();
    private FaultPolicy policy = new FaultPolicy(Integer.MAX_VALUE, Integer.MAX_VALUE, 0, 0);

    FaultTracker(SchedulerFeatures features) {
        this.quarantineOn = features.has(SchedulerFeature.QUARANTINE);
        this.poisonOn = features.has(SchedulerFeature.POISON);
    }

    void policy(FaultPolicy newPolicy) {
        policy = newPolicy;
    }

    boolean quarantined(WorkerId worker) {
        return quarantined.containsKey(worker);
    }

    /** Records the latest failure of a job and returns whether it puts the worker into quarantine. */
    boolean recordFailure(WorkerId worker, JobId job, long nowMs) {
        ArrayDeque<Failure> kept = failures.computeIfAbsent(worker, key -> new ArrayDeque<>(2));
        removeExpired(kept, nowMs);
        kept.removeIf(failure -> failure.job.equals(job));
        kept.addLast(new Failure(job, nowMs));
        if (kept.size() > MAX_FAILURES_KEPT) {
            kept.removeFirst();
        }
        if (!quarantineOn || quarantined(worker) || kept.size() < policy.quarantineJobs()) {
            return false;
        }
        quarantined.put(worker, new Quarantine(policy.probeAfterMs(), nowMs + policy.probeAfterMs()));
        return true;
    }

    /**
     * Records a success on a worker; ignored if the worker has no recorded failures, since it appears healthy anyway.
     */
    void recordSuccess(WorkerId worker, long nowMs) {
        ArrayDeque<Failure> kept = failures.get(worker);
        if (kept == null) {
            return;
        }
        lastSuccessMs.put(worker, nowMs);
        removeExpired(kept, nowMs);
        if (kept.isEmpty()) {
            failures.remove(worker);
            lastSuccessMs.remove(worker);
        }
    }

    /**
     * Returns whether a job is poison: it failed on as many different workers that appear healthy as the policy sets,
     * or has {@link #POISON_FAILURES_PER_WORKER} times as many failures in total. A worker appears healthy if it is not
     * quarantined and either had a recent success or failed no other job.
     */
    boolean isPoison(Job job, long nowMs) {
        if (!poisonOn) {
            return false;
        }
        long healthyWorkers = job.failedOn().stream()
                .filter(worker -> appearsHealthy(worker, job.spec().id(), nowMs))
                .count();
        return healthyWorkers >= policy.poisonWorkers()
                || job.failures() >= (long) POISON_FAILURES_PER_WORKER * policy.poisonWorkers();
    }

    /** Deletes the failures of a poison job, which do not count against the workers. */
    void forgetFailures(Job job) {
        for (WorkerId worker : job.failedOn()) {
            ArrayDeque<Failure> kept = failures.get(worker);
            if (kept == null) {
                continue;
            }
            kept.removeIf(failure -> failure.job.equals(job.spec().id()));
            if (kept.isEmpty()) {
                failures.remove(worker);
                lastSuccessMs.remove(worker);
            }
        }
    }

    /** Deletes failures that are older than the window. */
    void removeStale(long nowMs) {
        failures.values().removeIf(kept -> {
            removeExpired(kept, nowMs);
            return kept.isEmpty();
        });
        lastSuccessMs.keySet().retainAll(failures.keySet());
    }

    /**
     * Returns the quarantined workers that have joined and whose probe is due, and marks the probes as sent. Deletes
     * quarantines of absent workers whose probe is overdue by more than the longest delay.
     */
    List<WorkerId> dueProbes(Predicate<WorkerId> joined, long nowMs) {
        quarantined.entrySet().removeIf(entry -> entry.getValue().expired(nowMs) && !joined.test(entry.getKey()));
        List<WorkerId> due = new ArrayList<>();
        quarantined.forEach((worker, state) -> {
            if (!state.probing && state.probeAtMs <= nowMs && joined.test(worker)) {
                state.probing = true;
                due.add(worker);
            }
        });
        return due;
    }

    /** Records the result of a probe and returns whether it ends the quarantine; a failure doubles the next delay. */
    boolean probeEnded(WorkerId worker, boolean healthy, long nowMs) {
        Quarantine state = quarantined.get(worker);
        if (state == null) {
            return false;
        }
        if (healthy) {
            quarantined.remove(worker);
            failures.remove(worker);
            return true;
        }
        state.probing = false;
        state.delayMs = Math.min(MAX_PROBE_DELAY_MS, state.delayMs * 2);
        state.probeAtMs = nowMs + state.delayMs;
        return false;
    }

    private boolean appearsHealthy(WorkerId worker, JobId job, long nowMs) {
        if (quarantined(worker)) {
            return false;
        }
        Long success = lastSuccessMs.get(worker);
        if (success != null && nowMs - success <= policy.windowMs()) {
            return true;
        }
        ArrayDeque<Failure> kept = failures.get(worker);
        return kept == null || kept.stream().allMatch(failure -> failure.job.equals(job));
    }

    private void removeExpired(ArrayDeque<Failure> kept, long nowMs) {
        while (!kept.isEmpty() && nowMs - kept.getFirst().atMs > policy.windowMs()) {
            kept.removeFirst();
        }
    }

    private record Failure(JobId job, long atMs) {}

    private static final class Quarantine {
        private long delayMs;
        private long probeAtMs;
        private boolean probing;

        private Quarantine(long delayMs, long probeAtMs) {
            this.delayMs = delayMs;
            this.probeAtMs = probeAtMs;
        }

        private boolean expired(long nowMs) {
            return nowMs - probeAtMs > MAX_PROBE_DELAY_MS;
        }
    }
}
