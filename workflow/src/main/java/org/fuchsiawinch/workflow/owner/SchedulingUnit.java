package org.fuchsiawinch.workflow.owner;

import java.util.List;
import java.util.stream.IntStream;

import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskState;

/**
 * Unit of scheduling: a single task, or all tasks of a gang, which start together.
 *
 * @param job the job
 * @param step index of the step
 * @param indexes indexes of the tasks
 */
record SchedulingUnit(JobState job, int step, List<Integer> indexes) {

    static SchedulingUnit gang(JobState job, int step) {
        int count = job.submission().steps().get(step).count();
        return new SchedulingUnit(job, step, IntStream.range(0, count).boxed().toList());
    }

    static SchedulingUnit task(JobState job, int step, int index) {
        return new SchedulingUnit(job, step, List.of(index));
    }

    StepSpec spec() {
        return job.submission().steps().get(step);
    }

    /** Returns whether the job is of the most urgent priority, which may preempt other work. */
    boolean urgent() {
        return job.submission().rules().priority() == 0;
    }

    /** Returns whether small work could starve the unit: a gang, or a task that needs more than half of a worker. */
    boolean large(int workerAccelerators) {
        return spec().gang() || 2 * spec().perTask().accelerators() > workerAccelerators;
    }

    /** Returns whether the tasks run slower unless they share a rack. */
    boolean rackBound() {
        return spec().sameRack() && indexes.size() > 1;
    }

    TaskRef ref(int index) {
        return new TaskRef(job.submission().id(), step, index);
    }

    /** Returns whether all tasks of the unit are waiting. */
    boolean ready() {
        return indexes.stream().allMatch(index -> state(index).phase() == TaskPhase.WAITING);
    }

    TaskState state(int index) {
        return job.tasks(step).get(index);
    }

    /** Returns the number of the next run, which the members of a gang share. */
    int nextRun() {
        return 1 + indexes.stream().mapToInt(index -> state(index).run()).max().orElse(0);
    }

    /** Returns the largest number of failed runs of a task of the unit. */
    int failures() {
        return indexes.stream().mapToInt(index -> state(index).failures()).max().orElse(0);
    }

    /** Returns whether a run has failed and one more failure fails the job. */
    boolean lastAttempt() {
        return failures() > 0 && failures() >= job.submission().rules().maxAttempts() - 1;
    }
}
