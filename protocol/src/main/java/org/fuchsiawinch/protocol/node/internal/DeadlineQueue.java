package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;

/**
 * Unfinished jobs in order of their deadlines, so that a tick visits only jobs whose deadlines have passed. Not
 * thread-safe.
 */
final class DeadlineQueue {

    private final PriorityQueue<Deadline> queue = new PriorityQueue<>();
    private final Set<JobId> queuedJobs = new HashSet<>();

    void add(JobSpec job) {
        if (job.deadlineMs().isPresent() && queuedJobs.add(job.id())) {
            queue.add(new Deadline(job.deadlineMs().getAsLong(), job.id()));
        }
    }

    /** Removes and returns the jobs whose deadlines have passed. */
    List<JobId> removePassed(long nowMs) {
        List<JobId> passed = new ArrayList<>();
        while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
            JobId job = queue.poll().job();
            queuedJobs.remove(job);
            passed.add(job);
        }
        return passed;
    }

    void clear() {
        queue.clear();
        queuedJobs.clear();
    }

    private record Deadline(long atMs, JobId job) implements Comparable<Deadline> {

        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : job.compareTo(other.job);
        }
    }
}
