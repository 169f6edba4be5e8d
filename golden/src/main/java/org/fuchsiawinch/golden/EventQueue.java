package org.fuchsiawinch.golden;

import java.util.PriorityQueue;

/** Runs actions in order of virtual time, then of insertion. Not thread-safe. */
final class EventQueue {

    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private long nowMs;
    private long inserted;

    /** Gives the virtual time in ms since the session's start. */
    long nowMs() {
        return nowMs;
    }

    /** Runs an action after a delay in ms. */
    void in(long delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    /** Runs an action at a time in ms; one in the past runs next. */
    void at(long timeMs, Runnable action) {
        entries.add(new Entry(Math.max(nowMs, timeMs), inserted, action));
        inserted++;
    }

    /** Runs all actions up to and including a time in ms. */
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
