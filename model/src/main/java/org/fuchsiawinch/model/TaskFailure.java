package org.fuchsiawinch.model;

/** Reason why a task ended without a result. */
public enum TaskFailure {
    /** The work itself reported a failure. */
    WORK_FAILED,
    /** The worker refused to start the task. */
    START_REFUSED,
    /** The worker did not confirm the task before its start-by time. */
    START_TIMEOUT,
    /** The task used more memory than the policy allows. */
    MEMORY_OVERRUN,
    /** The task ran longer than the policy allows. */
    TIME_OVERRUN,
    /** The worker was lost while the task may have been running. */
    WORKER_LOST
}
