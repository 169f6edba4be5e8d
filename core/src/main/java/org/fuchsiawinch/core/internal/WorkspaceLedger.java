package org.fuchsiawinch.core.internal;

import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiawinch.model.WorkspacePolicy;

/**
 * A workspace's accelerators in use and its spending in the current period. The worst-case cost of an attempt is
 * reserved at its start, so that the spending limit holds however long the attempt runs. Not thread-safe.
 */
final class WorkspaceLedger {

    private final Set<Attempt> running = new LinkedHashSet<>();
    private final Set<Attempt> outside = new LinkedHashSet<>();
    private int acceleratorsHeld;
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

    int acceleratorsHeld() {
        return acceleratorsHeld;
    }

    void rules(WorkspacePolicy rules, long nowMs) {
        limitMicros = rules.spendLimitMicros();
        acceleratorQuota = rules.acceleratorQuota();
        periodMs = rules.spendPeriodMs() > 0 ? rules.spendPeriodMs() : Long.MAX_VALUE;
        roll(nowMs);
        reservedMicros = running.stream().mapToLong(this::worst).sum();
    }

    boolean limited() {
        return limitMicros.isPresent();
    }

    boolean quotaAllows(int accelerators) {
        return (long) acceleratorsHeld + accelerators <= acceleratorQuota;
    }

    boolean limitAllows(long worstMicros, long nowMs) {
        if (limitMicros.isEmpty()) {
            return true;
        }
        roll(nowMs);
        return spentMicros + reservedMicros + worstMicros <= limitMicros.getAsLong();
    }

    boolean limitEverAllows(long worstMicros) {
        return limitMicros.isEmpty() || worstMicros <= limitMicros.getAsLong();
    }

    /** Returns the worst-case price of a run, capped at the price of a whole period. */
    long worst(long rateMicrosPerHour, long worstMs) {
        return Prices.of(rateMicrosPerHour, Math.min(worstMs, periodMs));
    }

    /** Returns the time in ms until the current period ends; {@link Long#MAX_VALUE} without periods. */
    long untilNextPeriodMs(long nowMs) {
        roll(nowMs);
        return periodMs == Long.MAX_VALUE ? Long.MAX_VALUE : periodStartMs + periodMs - nowMs;
    }

    void hold(int accelerators) {
        acceleratorsHeld += accelerators;
    }

    void started(Attempt attempt) {
        running.add(attempt);
        if (attempt.standing() != Standing.GUARANTEED) {
            outside.add(attempt);
        }
        acceleratorsHeld += attempt.accelerators();
        reservedMicros += worst(attempt);
    }

    void ended(Attempt attempt, long nowMs) {
        if (!running.contains(attempt)) {
            return;
        }
        roll(nowMs);
        running.remove(attempt);
        outside.remove(attempt);
        acceleratorsHeld -= attempt.accelerators();
        reservedMicros -= worst(attempt);
        spentMicros += attempt.due(periodStartMs, nowMs);
    }

    /** Charges a running attempt up to now and changes its price. */
    void reprice(Attempt attempt, long rateMicrosPerHour, long nowMs) {
        roll(nowMs);
        reservedMicros -= worst(attempt);
        spentMicros += attempt.due(periodStartMs, nowMs);
        attempt.rate(rateMicrosPerHour, nowMs);
        reservedMicros += worst(attempt);
    }

    /** Reserves the cost of a longer run if the limit allows it; returns whether it did. */
    boolean extend(Attempt attempt, long longestMs, long nowMs) {
        long before = worst(attempt);
        long after = worst(attempt.rateMicrosPerHour(), longestMs);
        if (!limitAllows(after - before, nowMs)) {
            return false;
        }
        attempt.worstMs(longestMs);
        reservedMicros += after - before;
        return true;
    }

    private long worst(Attempt attempt) {
        return worst(attempt.rateMicrosPerHour(), attempt.worstMs());
    }

    private void roll(long nowMs) {
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
