package org.fuchsiawinch.workflow.owner;

import java.util.List;
import java.util.stream.IntStream;

import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskState;

/**
 * What is started as one: a task, or all tasks of a gang.
 *
 * @param job the job
 * @param step index of the step
 * @param indexes indexes of the tasks
 */
record Unit(JobState job, int step, List<Integer> indexes) {

    static Unit gang(JobState job, int step) {
        int count = job.submission().steps().get(step).count();
        return new Unit(job, step, IntStream.range(0, count).boxed().toList());
    }

    static Unit task(JobState job, int step, int index) {
        return new Unit(job, step, List.of(index));
    }

    StepSpec spec() {
        return job.submission().steps().get(step);
    }

    /** Says whether the job may stop other work. */
    boolean urgent() {
        return job.submission().rules().priority() == 0;
    }

    /** Says whether small work may keep the unit from ever finding room: a gang, or most of a worker. */
    boolean large(int workerAccelerators) {
        return spec().gang() || 2 * spec().perTask().accelerators() > workerAccelerators;
    }

    /** Says whether the tasks slow each other down unless they share a rack. */
    boolean rackBound() {
        return spec().sameRack() && indexes.size() > 1;
    }

    TaskRef ref(int index) {
        return new TaskRef(job.submission().id(), step, index);
    }

    boolean ready() {
        return indexes.stream().allMatch(index -> state(index).phase() == TaskPhase.WAITING);
    }

    TaskState state(int index) {
        return job.tasks(step).get(index);
    }

    /** Gives the number of the next run: the members of a gang share it. */
    int nextRun() {
        return 1 + indexes.stream().mapToInt(index -> state(index).run()).max().orElse(0);
    }

    int failures() {
        return indexes.stream().mapToInt(index -> state(index).failures()).max().orElse(0);
    }

    boolean lastAttempt() {
        return failures() > 0 && failures() >= job.submission().rules().maxAttempts() - 1;
    }
}
