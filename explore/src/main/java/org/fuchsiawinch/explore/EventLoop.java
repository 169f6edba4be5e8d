package org.fuchsiawinch.explore;

import java.util.PriorityQueue;

/** Runs actions in order of virtual time, and at equal times in the order of scheduling. Not thread-safe. */
final class EventLoop {

    /** Maximum number of actions in a run; a run that takes more is considered endless. */
    private static final long MAX_STEPS = 500_000;

    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
    private long nowMs;
    private long scheduledCount;
    private long steps;

    long nowMs() {
        return nowMs;
    }

    void scheduleAfter(long delayMs, Runnable action) {
        queue.add(new ScheduledAction(nowMs + Math.max(0, delayMs), scheduledCount++, action));
    }

    void scheduleAt(long timeMs, Runnable action) {
        scheduleAfter(timeMs - nowMs, action);
    }

    void runUntil(long endMs) {
        while (!queue.isEmpty() && queue.peek().atMs() <= endMs) {
            ScheduledAction next = queue.poll();
            nowMs = next.atMs();
            steps++;
            if (steps > MAX_STEPS) {
                throw new IllegalStateException("no end after " + steps + " steps at " + nowMs + " ms");
            }
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
