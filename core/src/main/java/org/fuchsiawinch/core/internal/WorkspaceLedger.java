package org.fuchsiawinch.core.internal;

import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiawinch.model.WorkspacePolicy;

/**
 * A workspace's accelerators in use or held for claims, and its spending in the current period. The worst-case cost of
 * an attempt is reserved at its start, so that the spending limit holds however long the attempt runs. Not thread-safe.
 */
final class WorkspaceLedger {

    private final Set<Attempt> running = new LinkedHashSet<>();
    private final Set<Attempt> outside = new LinkedHashSet<>();
    private int acceleratorsInUse;
    private long periodStartMs;
    private long spentMicros;
    private long reservedMicros;
    private OptionalLong limitMicros = OptionalLong.empty();
    private long periodMs = Long.MAX_VALUE;
    private int acceleratorQuota = Integer.MAX_VALUE;

    /** Returns the running attempts of the workspace, in order of start. */
    Set<Attempt> running() {
        return running;
    }

    /** Returns the running attempts outside the workspace's guarantees, in order of start; modifiable. */
    Set<Attempt> outside() {
        return outside;
    }

    int acceleratorsInUse() {
        return acceleratorsInUse;
    }

    void policy(WorkspacePolicy policy, long nowMs) {
        limitMicros = policy.spendLimitMicros();
        acceleratorQuota = policy.acceleratorQuota();
        periodMs = policy.spendPeriodMs() > 0 ? policy.spendPeriodMs() : Long.MAX_VALUE;
        rollPeriod(nowMs);
        reservedMicros = running.stream().mapToLong(this::worstCaseMicros).sum();
    }

    boolean hasSpendLimit() {
        return limitMicros.isPresent();
    }

    boolean quotaAllows(int accelerators) {
        return (long) acceleratorsInUse + accelerators <= acceleratorQuota;
    }

    /** Returns whether spent, reserved and the given worst-case cost together are within the limit, if any. */
    boolean spendLimitAllows(long worstCaseMicros, long nowMs) {
        if (limitMicros.isEmpty()) {
            return true;
        }
        rollPeriod(nowMs);
        return spentMicros + reservedMicros + worstCaseMicros <= limitMicros.getAsLong();
    }

    /** Returns whether a worst-case cost alone is within the limit, if any. */
    boolean spendLimitEverAllows(long worstCaseMicros) {
        return limitMicros.isEmpty() || worstCaseMicros <= limitMicros.getAsLong();
    }

    /** Returns the worst-case price of a run, capped at the price of a whole period. */
    long worstCaseMicros(long rateMicrosPerHour, long worstCaseMs) {
        return Prices.of(rateMicrosPerHour, Math.min(worstCaseMs, periodMs));
    }

    /** Returns the time in ms until the current period ends; {@link Long#MAX_VALUE} without periods. */
    long untilNextPeriodMs(long nowMs) {
        rollPeriod(nowMs);
        return periodMs == Long.MAX_VALUE ? Long.MAX_VALUE : periodStartMs + periodMs - nowMs;
    }

    /** Counts accelerators held for a claim as in use; releases them if negative. */
    void hold(int accelerators) {
        acceleratorsInUse += accelerators;
    }

    void started(Attempt attempt) {
        running.add(attempt);
        if (attempt.entitlement() != Entitlement.GUARANTEED) {
            outside.add(attempt);
        }
        acceleratorsInUse += attempt.accelerators();
        reservedMicros += worstCaseMicros(attempt);
    }

    void ended(Attempt attempt, long nowMs) {
        if (!running.contains(attempt)) {
            return;
        }
        rollPeriod(nowMs);
        running.remove(attempt);
        outside.remove(attempt);
        acceleratorsInUse -= attempt.accelerators();
        reservedMicros -= worstCaseMicros(attempt);
        spentMicros += attempt.chargeMicros(periodStartMs, nowMs);
    }

    /** Charges a running attempt up to now and changes its price. */
    void reprice(Attempt attempt, long rateMicrosPerHour, long nowMs) {
        rollPeriod(nowMs);
        reservedMicros -= worstCaseMicros(attempt);
        spentMicros += attempt.chargeMicros(periodStartMs, nowMs);
        attempt.changeRate(rateMicrosPerHour, nowMs);
        reservedMicros += worstCaseMicros(attempt);
    }

    /** Reserves the cost of a longer run if the limit allows it; returns whether it did. */
    boolean extend(Attempt attempt, long longestMs, long nowMs) {
        long before = worstCaseMicros(attempt);
        long after = worstCaseMicros(attempt.rateMicrosPerHour(), longestMs);
        if (!spendLimitAllows(after - before, nowMs)) {
            return false;
        }
        attempt.worstCaseMs(longestMs);
        reservedMicros += after - before;
        return true;
    }

    private long worstCaseMicros(Attempt attempt) {
        return worstCaseMicros(attempt.rateMicrosPerHour(), attempt.worstCaseMs());
    }

    /** Starts a new period with nothing spent if the current one is over; periods are counted from the Unix epoch. */
    private void rollPeriod(long nowMs) {
        if (periodMs == Long.MAX_VALUE) {
            return;
        }
        long start = Math.floorDiv(nowMs, periodMs) * periodMs;
        if (start != periodStartMs) {
            periodStartMs = start;
            spentMicros = 0;
        }
    }
}
