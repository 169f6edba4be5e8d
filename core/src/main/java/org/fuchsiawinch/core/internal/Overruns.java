package org.fuchsiawinch.core.internal;

import java.util.Comparator;
import java.util.TreeSet;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.StopMode;

/** Ends attempts that run too long and restarts or ends those that use too much memory. Not thread-safe. */
final class Overruns {

    private static final long MIN_EXTENSION_MS = 60_000;

    private final State state;
    private final Stopper stopper;
    private final TreeSet<Attempt> byWorstEnd = new TreeSet<>(Comparator.comparingLong(Overruns::worstEndMs)
            .thenComparingLong(attempt -> attempt.job().sequence()));

    Overruns(State state, Stopper stopper) {
        this.state = state;
        this.stopper = stopper;
    }

    void started(Attempt attempt) {
        byWorstEnd.add(attempt);
    }

    void ended(Attempt attempt) {
        byWorstEnd.remove(attempt);
    }

    /** Stops the attempts that exceed their longest run time, if the policy or a spending limit bounds it. */
    void tick() {
        if (!state.has(SchedulerFeature.OVERRUNS) || estimates() == null) {
            return;
        }
        while (!byWorstEnd.isEmpty() && worstEndMs(byWorstEnd.first()) <= state.nowMs()) {
            Attempt attempt = byWorstEnd.pollFirst();
            if (mayRunOn(attempt)) {
                byWorstEnd.add(attempt);
            } else if (estimates().timeOverrunFactor() > 0 || ledger(attempt).limited()) {
                stopper.stop(attempt, StopCause.TIME_OVERRUN, StopMode.STOP);
            }
        }
    }

    /**
     * Extends the longest run time by half, at least {@link #MIN_EXTENSION_MS}, if only a spending limit bounds the run
     * and the limit allows the additional cost. Returns whether it was extended.
     */
    private boolean mayRunOn(Attempt attempt) {
        if (estimates().timeOverrunFactor() > 0
                || attempt.stopping()
                || !ledger(attempt).limited()) {
            return false;
        }
        long longestMs = attempt.worstMs() + Math.max(MIN_EXTENSION_MS, attempt.worstMs() / 2);
        return ledger(attempt).extend(attempt, longestMs, state.nowMs());
    }

    private WorkspaceLedger ledger(Attempt attempt) {
        return state.ledger(attempt.job().spec().workspace());
    }

    /**
     * Handles a report of a part's peak memory in MiB. Work that cannot be repeated keeps running beyond the policy's
     * factor as long as its workers have enough free memory.
     */
    void memory(Attempt attempt, int usedMb) {
        attempt.raisePeakMemory(usedMb);
        int grantedMb = attempt.part().memoryMb() + attempt.addedMemoryMb();
        if (!state.has(SchedulerFeature.OVERRUNS) || usedMb <= grantedMb || attempt.stopping()) {
            return;
        }
        boolean borne = usedMb <= attempt.part().memoryMb() * estimates().memoryOverrunFactor();
        boolean once = !attempt.job().spec().reclaimable();
        if (borne || (once && fits(attempt, usedMb - grantedMb))) {
            Occupancy.addMemory(attempt, usedMb - grantedMb);
            return;
        }
        Job job = attempt.job();
        StopCause cause = exhausted(job, usedMb);
        boolean save = job.spec().checkpointable() && cause == StopCause.MEMORY_OVERRUN;
        stopper.stop(attempt, cause, save ? StopMode.CHECKPOINT : StopMode.STOP);
    }

    /** Returns whether all workers of an attempt have enough free memory to grow each part by the given MiB. */
    private static boolean fits(Attempt attempt, int megabytes) {
        Gang gang = attempt.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            int neededMb = worker.used().memoryMb() + worker.held().memoryMb() + megabytes * gang.counts()[i];
            if (neededMb > worker.capacity().memoryMb()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Raises the memory of a job's next attempt; returns the stop cause, depending on whether any worker has as much.
     */
    StopCause exhausted(Job job, int neededMb) {
        job.raiseMemoryFloor(neededMb);
        return neededMb <= state.pool.maxMemoryMb() ? StopCause.MEMORY_OVERRUN : StopCause.MEMORY_IMPOSSIBLE;
    }

    private EstimatePolicy estimates() {
        return state.policy().map(Policy::estimates).orElse(null);
    }

    private static long worstEndMs(Attempt attempt) {
        return attempt.startedMs() + attempt.worstMs();
    }
}
