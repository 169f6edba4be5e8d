package org.fuchsiawinch.workflow.job;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;

/**
 * One step of a job: a number of alike tasks.
 *
 * @param count number of tasks, at least 1
 * @param perTask what each task needs; slots and connections are not used
 * @param estimatedMs the caller's rough estimate of a task's run time in ms
 * @param after indexes of earlier steps of which all tasks must be done first
 * @param gang whether the tasks run all at once or not at all
 * @param sameRack whether the tasks slow each other down when they run on more than one rack
 * @param checkpoints whether a task saves its progress
 * @param maxPerWorker most tasks of the step on one worker; 0 for any number
 * @param requiredLabel label that a worker must have
 * @param dataRack rack that holds the step's data
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
     * Copies the list.
     */
    public StepSpec {
        after = List.copyOf(after);
    }
}
