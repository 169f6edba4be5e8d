package org.fuchsiawinch.workflow.owner;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.job.TaskState;

/** A run that holds capacity of a worker because it is there or may be there. Not thread-safe. */
final class ActiveRun {

    private static final long NOT_YET = Long.MAX_VALUE;

    /** Progress of the run's start. */
    enum Stage {
        /** The assignment is being stored; no start order was sent. */
        RECORDING,
        /** A start order was sent, or may have been sent by an earlier owner. */
        ORDERED,
        /** The worker has confirmed the run. */
        RUNNING
    }

    final TaskRun run;
    final JobState job;
    final WorkerState worker;
    final Resources need;
    Stage stage;
    int tries;
    boolean unanswered;
    long unansweredMs = NOT_YET;
    boolean stopping;
    boolean stopAnswered;
    long stopSentMs;
    long confirmedMs = NOT_YET;
    long absenceProvesEndMs = NOT_YET;
    int percent = -1;
    long percentMs;
    int speedPercent = -1;
    long speedMs;
    boolean remote;

    ActiveRun(TaskRun run, JobState job, WorkerState worker, Stage stage) {
        this.run = run;
        this.job = job;
        this.worker = worker;
        this.stage = stage;
        this.need = step().perTask();
    }

    StepSpec step() {
        return job.submission().steps().get(run.task().step());
    }

    TaskState task() {
        return job.task(run.task());
    }

    /** Returns whether the task is still assigned to this run; false once the task was released from it. */
    boolean current() {
        TaskState task = task();
        return task.run() == run.number()
                && task.worker().filter(worker.id::equals).isPresent();
    }

    void confirm(long nowMs) {
        if (stage != Stage.RUNNING) {
            stage = Stage.RUNNING;
            confirmedMs = nowMs;
            percentMs = nowMs;
        }
    }
}
