package org.fuchsiawinch.workflow.forecast;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * What a run has in common with others whose run times are alike.
 *
 * @param queue name of the queue
 * @param workspace workspace of the job
 * @param shape shape of the step, as {@link #shape(int, int, boolean)} names it; empty for any shape
 * @param remote whether the run is slowed by its distance from its data or its gang
 */
public record RunKind(String queue, WorkspaceId workspace, String shape, boolean remote) {

    /**
     * Names a shape. Gangs differ by their size, as the slowest member determines the run time.
     *
     * @param accelerators accelerators of each task
     * @param tasks number of tasks of the step
     * @param gang whether the tasks run only together
     * @return the name
     */
    public static String shape(int accelerators, int tasks, boolean gang) {
        return gang ? accelerators + "x" + tasks : Integer.toString(accelerators);
    }

    RunKind ofAnyShape() {
        return new RunKind(queue, workspace, "", remote);
    }
}
