package org.fuchsiawinch.explore;

import java.util.PriorityQueue;

/** Runs actions in order of virtual time; those of the same time in order of scheduling. Not thread-safe. */
final class EventLoop {

    private static final long MAX_STEPS = 500_000;

    private final PriorityQueue<Entry> queue = new PriorityQueue<>();
    private long nowMs;
    private long count;
    private long steps;

    long nowMs() {
        return nowMs;
    }

    void in(long delayMs, Runnable action) {
        queue.add(new Entry(nowMs + Math.max(0, delayMs), count++, action));
    }

    void at(long timeMs, Runnable action) {
        in(timeMs - nowMs, action);
    }

    void runUntil(long endMs) {
        while (!queue.isEmpty() && queue.peek().atMs() <= endMs) {
            Entry next = queue.poll();
            nowMs = next.atMs();
            steps++;
            if (steps > MAX_STEPS) {
                throw new IllegalStateException("no end after " + steps + " steps at " + nowMs + " ms");
            }
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
