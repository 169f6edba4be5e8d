package org.fuchsiawinch.protocol.fold;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

import org.fuchsiawinch.model.JobId;

/**
 * Says when a finished job and its answer are forgotten: by the log's own time, so that every reader forgets it at the
 * same offset. Not thread-safe.
 */
final class Forgetting {

    /** Time in ms for which a finished job can be asked for. */
    static final long ANSWER_KEEP_MS = 3_600_000;

    /** Time in ms after a job's deadline for which its key is known. */
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
