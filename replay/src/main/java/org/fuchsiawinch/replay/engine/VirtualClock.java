package org.fuchsiawinch.replay.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock with a queue of scheduled actions. Actions for the same time run in the order in which they were added.
 * Not thread-safe.
 */
final class VirtualClock {

    private final PriorityQueue<ScheduledAction> actions = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::atMs).thenComparingLong(ScheduledAction::sequence));
    private long nowMs;
    private long sequence;

    long nowMs() {
        return nowMs;
    }

    /**
     * Schedules an action; a time in the past counts as now.
     */
    void scheduleAt(long atMs, Runnable action) {
        actions.add(new ScheduledAction(Math.max(atMs, nowMs), sequence++, action));
    }

    void scheduleAfter(long delayMs, Runnable action) {
        scheduleAt(nowMs + delayMs, action);
    }

    /**
     * Advances the clock to the next action and runs it.
     *
     * @param untilMs latest time in ms of an action that may run
     * @return whether an action ran
     */
    boolean runNext(long untilMs) {
        ScheduledAction next = actions.peek();
        if (next == null || next.atMs() > untilMs) {
            return false;
        }
        actions.remove();
        nowMs = next.atMs();
        next.action().run();
        return true;
    }

    private record ScheduledAction(long atMs, long sequence, Runnable action) {}
}
