package org.fuchsiawinch.workflow.owner;

import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;

/**
 * Requirements of a unit's placement. If a unit does not fit, no unit of the same shape does.
 *
 * @param service service whose workers run the unit
 * @param tasks number of tasks that start together
 * @param perTask resources of each task
 * @param sameRack whether the tasks run slower when they are spread over more than one rack
 * @param maxPerWorker maximum number of the step's tasks on one worker; 0 for no limit
 * @param requiredLabel label that a worker must have; empty if any worker will do
 */
record UnitShape(
        String service,
        int tasks,
        Resources perTask,
        boolean sameRack,
        int maxPerWorker,
        Optional<String> requiredLabel) {

    static UnitShape of(JobState job, StepSpec step) {
        return new UnitShape(
                job.submission().service(),
                step.gang() ? step.count() : 1,
                step.perTask(),
                step.sameRack(),
                step.maxPerWorker(),
                step.requiredLabel());
    }
}
