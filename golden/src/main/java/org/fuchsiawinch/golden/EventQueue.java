package org.fuchsiawinch.golden;

import java.util.PriorityQueue;

/** Queue of actions that run in order of virtual time and then of insertion. Not thread-safe. */
final class EventQueue {

    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private long nowMs;
    private long inserted;

    /** Returns the virtual time in ms since the session's start. */
    long nowMs() {
        return nowMs;
    }

    /** Schedules an action after a delay in ms. */
    void in(long delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    /** Schedules an action at a virtual time in ms; a time in the past is replaced by the present one. */
    void at(long timeMs, Runnable action) {
        entries.add(new Entry(Math.max(nowMs, timeMs), inserted, action));
        inserted++;
    }

    /** Runs all actions up to and including a virtual time in ms. */
    void runUntil(long endMs) {
        while (!entries.isEmpty() && entries.peek().atMs() <= endMs) {
            Entry next = entries.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = endMs;
    }

    private record Entry(long atMs, long order, Runnable action) implements Comparable<Entry> {

        @Override
        public int compareTo(Entry other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
