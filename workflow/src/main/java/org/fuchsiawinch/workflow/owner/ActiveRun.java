package org.fuchsiawinch.workflow.owner;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.job.TaskState;

/** A run that holds capacity of a worker: it is there, or may be. Not thread-safe. */
final class ActiveRun {

    private static final long NOT_YET = Long.MAX_VALUE;

    /** How far the run has come. */
    enum Stage {
        /** Its assignment is not stored yet; nothing has been sent. */
        RECORDING,
        /** The order was sent, or an earlier owner may have sent it. */
        ORDERED,
        /** The worker has confirmed it. */
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

    /** Says whether the task's recorded state is this run, as against one that has been given up. */
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
