package org.fuchsiawinch.workflow.owner;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.job.TaskState;

/** A run that holds capacity of a worker because it runs there or may run there. Not thread-safe. */
final class ActiveRun {

    /** Value of times that have not come yet. */
    private static final long NEVER = Long.MAX_VALUE;

    /** Progress of the run's start. */
    enum Stage {
        /** The assignment is being stored; no start order was sent. */
        STORING,
        /** A start order was sent, or may have been sent by an earlier owner. */
        ORDERED,
        /** The worker has confirmed the run. */
        RUNNING
    }

    final TaskRun id;
    final JobState job;
    final WorkerState worker;
    final Resources need;

    /** Process of the worker that the run was assigned to, as far as this owner knew it. */
    private long assignedIncarnation;

    /** Whether an earlier owner has assigned the run, and the worker has not told yet what has become of it. */
    boolean inherited;

    Stage stage;
    int startOrders;

    /** Whether the run goes on from a checkpoint, so that its run time is only a part. */
    boolean resumed;

    /** Whether a start order was not answered, so that it may still be carried out. */
    boolean startUnanswered;

    long startUnansweredMs = NEVER;
    boolean stopping;
    boolean stopAccepted;
    long stopSentMs;
    long confirmedMs = NEVER;
    /** Whether a report of the present incarnation has listed the run, so that its lease is on the known clock. */
    boolean listed;

    /** Time in ms; if the report of a renewal that was sent later does not hold the run, it is not running. */
    long absenceConclusiveAfterMs = NEVER;

    /** Progress in percent; -1 before the first report. */
    int percent = -1;

    long percentChangedMs;
    /** Progress in percent at the last speed observation; -1 before the first one. */
    int speedSamplePercent = -1;

    long speedSampleMs;
    /** Whether the run is slowed by its distance from its data or its gang, so that its speed is not observed. */
    boolean remote;

    ActiveRun(TaskRun id, JobState job, WorkerState worker, Stage stage) {
        this.id = id;
        this.job = job;
        this.worker = worker;
        this.stage = stage;
        this.assignedIncarnation = worker.incarnation;
        this.need = step().perTask();
    }

    StepSpec step() {
        return job.submission().steps().get(id.task().step());
    }

    TaskState task() {
        return job.task(id.task());
    }

    /** Returns whether the run was assigned to the process of its worker that has answered last. */
    boolean assignedToPresentProcess() {
        return assignedIncarnation == worker.incarnation;
    }

    /** Takes over an assignment whose start order is sent after the next append. */
    void adopt() {
        stage = Stage.STORING;
        assignedIncarnation = worker.incarnation;
        absenceConclusiveAfterMs = NEVER;
    }

    /** Returns whether the task is still assigned to this run; false once the task was released from it. */
    boolean current() {
        TaskState task = task();
        return task.run() == id.number()
                && task.worker().filter(worker.id::equals).isPresent();
    }

    /**
     * Discards what the worker said before it restarted: it no longer refuses the run, so a stop is sent again, and its
     * lease counts from its new start.
     */
    void forgetIncarnation() {
        listed = false;
        stopAccepted = false;
        absenceConclusiveAfterMs = NEVER;
    }

    void confirm(long nowMs) {
        if (stage != Stage.RUNNING) {
            stage = Stage.RUNNING;
            confirmedMs = nowMs;
            percentChangedMs = nowMs;
        }
    }
}
