package org.fuchsiawinch.core.internal;

import java.util.Comparator;
import java.util.TreeSet;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.StopMode;

/** Ends attempts that run too long and restarts or ends those that use too much memory. Not thread-safe. */
final class OverrunMonitor {

    private static final long MIN_EXTENSION_MS = 60_000;

    private final SchedulerState state;
    private final AttemptStopper stopper;
    private final TreeSet<Attempt> byLatestEnd = new TreeSet<>(Comparator.comparingLong(OverrunMonitor::latestEndMs)
            .thenComparingLong(attempt -> attempt.job().sequence()));

    OverrunMonitor(SchedulerState state, AttemptStopper stopper) {
        this.state = state;
        this.stopper = stopper;
    }

    void started(Attempt attempt) {
        byLatestEnd.add(attempt);
    }

    void ended(Attempt attempt) {
        byLatestEnd.remove(attempt);
    }

    /** Stops the attempts that exceed their longest run time, if the policy or a spending limit bounds it. */
    void tick() {
        if (!state.has(SchedulerFeature.OVERRUNS) || estimates() == null) {
            return;
        }
        while (!byLatestEnd.isEmpty() && latestEndMs(byLatestEnd.first()) <= state.nowMs()) {
            Attempt attempt = byLatestEnd.pollFirst();
            if (tryExtend(attempt)) {
                byLatestEnd.add(attempt);
            } else if (estimates().timeOverrunFactor() > 0 || ledger(attempt).hasSpendLimit()) {
                stopper.stop(attempt, StopCause.TIME_OVERRUN, StopMode.STOP);
            }
        }
    }

    /**
     * Extends the longest run time by half, at least {@link #MIN_EXTENSION_MS}, if only a spending limit bounds the run
     * and the limit allows the additional cost. Returns whether it was extended.
     */
    private boolean tryExtend(Attempt attempt) {
        if (estimates().timeOverrunFactor() > 0
                || attempt.stopping()
                || !ledger(attempt).hasSpendLimit()) {
            return false;
        }
        long longestMs = attempt.worstCaseMs() + Math.max(MIN_EXTENSION_MS, attempt.worstCaseMs() / 2);
        return ledger(attempt).extend(attempt, longestMs, state.nowMs());
    }

    private WorkspaceLedger ledger(Attempt attempt) {
        return state.ledger(attempt.job().spec().workspace());
    }

    /**
     * Handles a report of a part's peak memory in MiB. Work that can be neither repeated nor checkpointed keeps running
     * beyond the policy's factor as long as its workers have enough free memory.
     */
    void memoryReported(Attempt attempt, int usedMb) {
        attempt.raisePeakMemory(usedMb);
        int grantedMb = attempt.perPart().memoryMb() + attempt.addedMemoryMb();
        if (!state.has(SchedulerFeature.OVERRUNS) || usedMb <= grantedMb || attempt.stopping()) {
            return;
        }
        boolean tolerated = usedMb <= attempt.perPart().memoryMb() * estimates().memoryOverrunFactor();
        boolean notRepeatable = !attempt.job().spec().reclaimable();
        if (tolerated || (notRepeatable && fits(attempt, usedMb - grantedMb))) {
            CapacityAccounting.addMemory(attempt, usedMb - grantedMb);
            return;
        }
        Job job = attempt.job();
        StopCause cause = memoryExceeded(job, usedMb);
        boolean save = job.spec().checkpointable() && cause == StopCause.MEMORY_OVERRUN;
        stopper.stop(attempt, cause, save ? StopMode.CHECKPOINT : StopMode.STOP);
    }

    /** Returns whether all workers of an attempt have enough free memory to grow each part by the given MiB. */
    private static boolean fits(Attempt attempt, int megabytes) {
        GangPlacement placement = attempt.placement();
        for (int i = 0; i < placement.workers().length; i++) {
            Worker worker = placement.workers()[i];
            int neededMb = worker.used().memoryMb()
                    + worker.held().memoryMb()
                    + megabytes * placement.counts()[i];
            if (neededMb > worker.capacity().memoryMb()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Raises the memory that a job's next attempt is granted; returns the stop cause, which ends the job if no worker
     * has that much.
     */
    StopCause memoryExceeded(Job job, int neededMb) {
        job.raiseMemoryFloor(neededMb);
        return neededMb <= state.pool.maxMemoryMb() ? StopCause.MEMORY_OVERRUN : StopCause.MEMORY_IMPOSSIBLE;
    }

    private EstimatePolicy estimates() {
        return state.policy().map(Policy::estimates).orElse(null);
    }

    private static long latestEndMs(Attempt attempt) {
        return attempt.startedMs() + attempt.worstCaseMs();
    }
}
