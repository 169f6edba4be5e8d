package org.fuchsiawinch.standin.worker;

import java.util.Optional;

import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.protocol.worker.WorkerCommand;

/** Plans how long a released part runs on a stand-in worker and how it ends. */
@FunctionalInterface
public interface RunPlanner {

    /**
     * Returns the planned run of a part.
     *
     * @param part the command that prepared the part
     * @return duration and result of the run
     */
    PlannedRun plan(WorkerCommand.Prepare part);

    /**
     * Duration and result of a part's run.
     *
     * @param runMs run time in ms from release, on a worker of speed 1
     * @param answer the part's answer on completion; unused if the run fails
     * @param failure cause of the failure; empty if the run completes
     * @param memoryMb memory in MiB that the worker reports as used by the part
     */
    record PlannedRun(long runMs, byte[] answer, Optional<TaskFailure> failure, int memoryMb) {}
}
