package org.fuchsiawinch.workflow.owner;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.job.TaskState;

/** A run that holds capacity of a worker because it is there or may be there. Not thread-safe. */
final class ActiveRun {

    private static final long NEVER = Long.MAX_VALUE;

    /** Progress of the run's start. */
    enum Stage {
        /** The assignment is being stored; no start order was sent. */
        RECORDING,
        /** A start order was sent, or may have been sent by an earlier owner. */
        ORDERED,
        /** The worker has confirmed the run. */
        RUNNING
    }

    final TaskRun id;
    final JobState job;
    final WorkerState worker;
    final Resources need;
    Stage stage;
    int startOrders;
    boolean startUnanswered;
    long startUnansweredMs = NEVER;
    boolean stopping;
    boolean stopAccepted;
    long stopSentMs;
    long confirmedMs = NEVER;
    long absenceConclusiveAfterMs = NEVER;
    int percent = -1;
    long percentChangedMs;
    int speedSamplePercent = -1;
    long speedSampleMs;
    boolean remote;

    ActiveRun(TaskRun id, JobState job, WorkerState worker, Stage stage) {
        this.id = id;
        this.job = job;
        this.worker = worker;
        this.stage = stage;
        this.need = step().perTask();
    }

    StepSpec step() {
        return job.submission().steps().get(id.task().step());
    }

    TaskState task() {
        return job.task(id.task());
    }

    /** Returns whether the task is still assigned to this run; false once the task was released from it. */
    boolean current() {
        TaskState task = task();
        return task.run() == id.number()
                && task.worker().filter(worker.id::equals).isPresent();
    }

    void confirm(long nowMs) {
        if (stage != Stage.RUNNING) {
            stage = Stage.RUNNING;
            confirmedMs = nowMs;
            percentChangedMs = nowMs;
        }
    }
}
