package org.fuchsiawinch.standin.worker;

import java.util.Optional;

import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.protocol.worker.WorkerCommand;

/** What a stand-in worker does with a part once it is released. */
@FunctionalInterface
public interface RunPlanner {

    /**
     * Plans a part's run.
     *
     * @param part the command that brought the part
     * @return how the run will go
     */
    PlannedRun plan(WorkerCommand.Prepare part);

    /**
     * How a part's run goes.
     *
     * @param runMs run time in ms from release
     * @param answer the answer at the end
     * @param failure present if the run ends without an answer
     * @param memoryMb peak memory in MiB
     */
    record PlannedRun(long runMs, byte[] answer, Optional<TaskFailure> failure, int memoryMb) {}
}
