package org.fuchsiawinch.workflow.job;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;

/**
 * One step of a job: a number of identical tasks. The record codec writes the components in order of declaration.
 *
 * @param count number of tasks, at least 1
 * @param perTask resources that each task needs; slots and connections are not used
 * @param estimatedMs the caller's estimate of a task's run time in ms
 * @param after indexes of earlier steps whose tasks must all be done first
 * @param gang whether the tasks must run concurrently, all or none
 * @param sameRack whether the tasks run slower when they are spread over more than one rack
 * @param checkpoints whether tasks save checkpoints
 * @param maxPerWorker maximum number of the step's tasks on one worker; 0 for no limit
 * @param requiredLabel label that a worker must have; empty if any worker will do
 * @param dataRack rack that holds the step's data; empty if the run time does not depend on the rack
 */
public record StepSpec(
        int count,
        Resources perTask,
        long estimatedMs,
        List<Integer> after,
        boolean gang,
        boolean sameRack,
        boolean checkpoints,
        int maxPerWorker,
        Optional<String> requiredLabel,
        Optional<String> dataRack) {

    /**
     * Copies the list of dependencies.
     */
    public StepSpec {
        after = List.copyOf(after);
    }
}
