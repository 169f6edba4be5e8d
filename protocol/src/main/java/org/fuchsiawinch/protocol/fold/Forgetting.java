package org.fuchsiawinch.protocol.fold;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

import org.fuchsiawinch.model.JobId;

/**
 * Finished jobs in the order in which they and their answers expire. Expiry is judged by the latest time in the log
 * rather than a local clock, so that every reader drops a job at the same offset. Not thread-safe.
 */
final class Forgetting {

    /** Time in ms for which a finished job can be looked up. */
    static final long ANSWER_KEEP_MS = 3_600_000;

    /** Time in ms after a job's deadline during which its id is still recognised as a duplicate. */
    static final long KEY_SLACK_MS = 600_000;

    private final PriorityQueue<Due> queue = new PriorityQueue<>();

    void finished(JobEntry job) {
        long afterDeadlineMs = job.spec().deadlineMs().orElse(0) + KEY_SLACK_MS;
        queue.add(new Due(
                Math.max(job.finishedMs() + ANSWER_KEEP_MS, afterDeadlineMs),
                job.spec().id()));
    }

    List<JobId> due(long logTimeMs) {
        List<JobId> due = new ArrayList<>();
        while (!queue.isEmpty() && queue.peek().atMs() < logTimeMs) {
            due.add(queue.poll().job());
        }
        return due;
    }

    private record Due(long atMs, JobId job) implements Comparable<Due> {

        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : job.compareTo(other.job);
        }
    }
}
