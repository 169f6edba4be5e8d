package org.fuchsiawinch.protocol.fold;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

import org.fuchsiawinch.model.JobId;

/**
 * Finished jobs in the order in which they and their answers expire. Expiry is judged by the latest time in the log
 * rather than a local clock, so that every reader drops a job at the same offset. Not thread-safe.
 */
final class FinishedJobRetention {

    /** Time in ms for which a finished job can be looked up. */
    static final long ANSWER_RETENTION_MS = 3_600_000;

    /** Time in ms after a job's deadline during which its id is still recognised as a duplicate. */
    static final long ID_RETENTION_AFTER_DEADLINE_MS = 600_000;

    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();

    void add(JobEntry job) {
        long afterDeadlineMs = job.spec().deadlineMs().orElse(0) + ID_RETENTION_AFTER_DEADLINE_MS;
        expiries.add(new Expiry(
                Math.max(job.finishedMs() + ANSWER_RETENTION_MS, afterDeadlineMs),
                job.spec().id()));
    }

    List<JobId> removeExpired(long logTimeMs) {
        List<JobId> expired = new ArrayList<>();
        while (!expiries.isEmpty() && expiries.peek().expiresAtMs() < logTimeMs) {
            expired.add(expiries.poll().job());
        }
        return expired;
    }

    private record Expiry(long expiresAtMs, JobId job) implements Comparable<Expiry> {

        @Override
        public int compareTo(Expiry other) {
            int byTime = Long.compare(expiresAtMs, other.expiresAtMs);
            return byTime != 0 ? byTime : job.compareTo(other.job);
        }
    }
}
