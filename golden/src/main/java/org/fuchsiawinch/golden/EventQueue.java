package org.fuchsiawinch.golden;

import java.util.PriorityQueue;

/** Queue of actions that run in order of virtual time and then of insertion. Not thread-safe. */
final class EventQueue {

    private final PriorityQueue<ScheduledAction> actions = new PriorityQueue<>();
    private long nowMs;
    private long nextOrder;

    /** Returns the virtual time in ms since the session's start. */
    long nowMs() {
        return nowMs;
    }

    /** Schedules an action after a delay in ms. */
    void scheduleAfter(long delayMs, Runnable action) {
        scheduleAt(nowMs + delayMs, action);
    }

    /** Schedules an action at a virtual time in ms; a time in the past is replaced by the present one. */
    void scheduleAt(long timeMs, Runnable action) {
        actions.add(new ScheduledAction(Math.max(nowMs, timeMs), nextOrder, action));
        nextOrder++;
    }

    /** Runs all actions up to and including a virtual time in ms. */
    void runUntil(long endMs) {
        while (!actions.isEmpty() && actions.peek().atMs() <= endMs) {
            ScheduledAction next = actions.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = endMs;
    }

    private record ScheduledAction(long atMs, long order, Runnable action) implements Comparable<ScheduledAction> {

        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
