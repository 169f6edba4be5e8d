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
        JobClass group = classes.computeIfAbsent(key, JobClass::new);
        if (!group.jobs().isEmpty()) {
            side(group).remove(group);
        }
        group.jobs().add(job);
        side(group).add(group);
        job.jobClass(group);
        size++;
        sizes.merge(key.workspace(), 1, Integer::sum);
    }

    void remove(Job job) {
        JobClass group = job.jobClass();
        side(group).remove(group);
        group.jobs().remove(job);
        job.jobClass(null);
        size--;
        sizes.merge(group.key().workspace(), -1, (a, b) -> a + b == 0 ? null : a + b);
        if (group.jobs().isEmpty()) {
            classes.remove(group.key());
        } else {
            side(group).add(group);
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
    void block(JobClass group, ReasonCode code) {
        ready.remove(group);
        group.waitCode(code);
        group.blocked(true);
        blocked.add(group);
    }

    /** Makes the blocked classes that match eligible again. */
    void capacityGrew(Predicate<JobClass> mayFit) {
        List<JobClass> again = blocked.stream().filter(mayFit).toList();
        for (JobClass group : again) {
            blocked.remove(group);
            group.blocked(false);
            ready.add(group);
        }
    }

    /** Returns the first job in order among the blocked classes that match, or empty. */
    Optional<Job> firstBlocked(Predicate<JobClass> condition) {
        return blocked.stream().filter(condition).findFirst().map(JobClass::first);
    }

    /** Returns all queued jobs in the order in which they start. */
    List<Job> jobs() {
        List<Job> all = new ArrayList<>(size);
        classes.values().forEach(group -> all.addAll(group.jobs()));
        all.sort(JobClass.ORDER);
        return all;
    }

    private TreeSet<JobClass> side(JobClass group) {
        return group.blocked() ? blocked : ready;
    }
}
