package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.TaskRef;

/** The runs that hold capacity of any worker, by job and task. Not thread-safe. */
final class RunIndex {

    private final Map<JobState, Set<ActiveRun>> runsByJob = new HashMap<>();
    private final Map<TaskRef, Integer> runsByTask = new HashMap<>();

    void add(ActiveRun run) {
        runsByTask.merge(run.id.task(), 1, Integer::sum);
        runsByJob.computeIfAbsent(run.job, job -> new LinkedHashSet<>()).add(run);
    }

    void remove(ActiveRun run) {
        runsByTask.computeIfPresent(run.id.task(), (task, count) -> count == 1 ? null : count - 1);
        runsByJob.computeIfPresent(run.job, (job, runs) -> {
            runs.remove(run);
            return runs.isEmpty() ? null : runs;
        });
    }

    /** Returns a copy of the runs of a job, in the order in which they were added. */
    List<ActiveRun> runsOf(JobState job) {
        return List.copyOf(runsByJob.getOrDefault(job, Set.of()));
    }

    /** Returns whether any run of a job that holds capacity matches a condition. */
    boolean anyRun(JobState job, Predicate<ActiveRun> condition) {
        return runsByJob.getOrDefault(job, Set.of()).stream().anyMatch(condition);
    }

    /** Returns whether any run of a task holds capacity, also one from which the task has been released. */
    boolean holds(TaskRef task) {
        return runsByTask.containsKey(task);
    }
}
