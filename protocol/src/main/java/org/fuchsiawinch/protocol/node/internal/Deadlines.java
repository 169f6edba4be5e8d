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
final class Deadlines {

    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final Set<JobId> known = new HashSet<>();

    void add(JobSpec job) {
        if (job.deadlineMs().isPresent() && known.add(job.id())) {
            queue.add(new Due(job.deadlineMs().getAsLong(), job.id()));
        }
    }

    /** Removes and returns the jobs whose deadlines have passed. */
    List<JobId> passed(long nowMs) {
        List<JobId> passed = new ArrayList<>();
        while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
            JobId job = queue.poll().job();
            known.remove(job);
            passed.add(job);
        }
        return passed;
    }

    void clear() {
        queue.clear();
        known.clear();
    }

    private record Due(long atMs, JobId job) implements Comparable<Due> {

        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : job.compareTo(other.job);
        }
    }
}
