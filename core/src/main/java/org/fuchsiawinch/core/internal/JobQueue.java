package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.WorkspaceId;

/**
 * Waiting jobs by class. A class whose first job did not fit is skipped until {@link #capacityGrew}, so that the cost
 * of an event depends on the number of classes that may fit and not on the number of jobs. Not thread-safe.
 */
final class JobQueue {

    private static final Comparator<JobClass> BY_FIRST = Comparator.comparing(JobClass::first, JobClass.ORDER);

    private final Map<JobClass.Key, JobClass> classes = new HashMap<>();
    private final TreeSet<JobClass> ready = new TreeSet<>(BY_FIRST);
    private final TreeSet<JobClass> blocked = new TreeSet<>(BY_FIRST);
    private final Map<WorkspaceId, Integer> sizes = new HashMap<>();
    private int size;

    int size() {
        return size;
    }

    int size(WorkspaceId workspace) {
        return sizes.getOrDefault(workspace, 0);
    }

    void add(Job job, JobClass.Key key) {
        JobClass jobClass = classes.computeIfAbsent(key, JobClass::new);
        if (!jobClass.jobs().isEmpty()) {
            setOf(jobClass).remove(jobClass);
        }
        jobClass.jobs().add(job);
        setOf(jobClass).add(jobClass);
        job.jobClass(jobClass);
        size++;
        sizes.merge(key.workspace(), 1, Integer::sum);
    }

    void remove(Job job) {
        JobClass jobClass = job.jobClass();
        setOf(jobClass).remove(jobClass);
        jobClass.jobs().remove(job);
        job.jobClass(null);
        size--;
        sizes.merge(jobClass.key().workspace(), -1, (a, b) -> a + b == 0 ? null : a + b);
        if (jobClass.jobs().isEmpty()) {
            classes.remove(jobClass.key());
        } else {
            setOf(jobClass).add(jobClass);
        }
    }

    /** Returns the first job in order among the classes that may fit, or empty. */
    Optional<Job> next() {
        return ready.isEmpty() ? Optional.empty() : Optional.of(ready.first().first());
    }

    /** Returns the classes that may fit, in order of their first jobs. */
    List<JobClass> ready() {
        return List.copyOf(ready);
    }

    /** Skips a class until capacity grows; the code is the reason for which its jobs wait. */
    void block(JobClass jobClass, ReasonCode code) {
        ready.remove(jobClass);
        jobClass.waitCode(code);
        jobClass.blocked(true);
        blocked.add(jobClass);
    }

    /** Makes the blocked classes that match eligible again. */
    void capacityGrew(Predicate<JobClass> mayFit) {
        List<JobClass> again = blocked.stream().filter(mayFit).toList();
        for (JobClass jobClass : again) {
            blocked.remove(jobClass);
            jobClass.blocked(false);
            ready.add(jobClass);
        }
    }

    /** Returns the first job in order among the blocked classes that match, or empty. */
    Optional<Job> firstBlocked(Predicate<JobClass> condition) {
        return blocked.stream().filter(condition).findFirst().map(JobClass::first);
    }

    /** Returns all queued jobs in the order in which they start. */
    List<Job> jobs() {
        List<Job> all = new ArrayList<>(size);
        classes.values().forEach(jobClass -> all.addAll(jobClass.jobs()));
        all.sort(JobClass.ORDER);
        return all;
    }

    private TreeSet<JobClass> setOf(JobClass jobClass) {
        return jobClass.blocked() ? blocked : ready;
    }
}
