package org.fuchsiawinch.replay.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock with a queue of scheduled actions. Actions for the same time run in the order in which they were added.
 * Not thread-safe.
 */
final class Timeline {

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::atMs).thenComparingLong(Entry::sequence));
    private long nowMs;
    private long sequence;

    long nowMs() {
        return nowMs;
    }

    /**
     * Schedules an action; a time in the past counts as now.
     */
    void at(long atMs, Runnable action) {
        entries.add(new Entry(Math.max(atMs, nowMs), sequence++, action));
    }

    void after(long delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    /**
     * Advances the clock to the next action and runs it.
     *
     * @param untilMs latest time in ms of an action that may run
     * @return whether an action ran
     */
    boolean step(long untilMs) {
        Entry next = entries.peek();
        if (next == null || next.atMs() > untilMs) {
            return false;
        }
        entries.remove();
        nowMs = next.atMs();
        next.action().run();
        return true;
    }

    private record Entry(long atMs, long sequence, Runnable action) {}
}
