package org.fuchsiawinch.standin.worker;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.wire.PlatformMessages;

/** Counts the parts of each attempt that workers began to run. Thread-safe. */
public final class RunCounter {

    private final Map<String, PlatformMessages.Run> runs = new TreeMap<>();

    /** Creates an empty ledger. */
    public RunCounter() {
        // starts empty
    }

    /**
     * Counts the parts that some work begins.
     *
     * @param runPlanner the work
     * @return the same runPlanner, counted
     */
    public RunPlanner counting(RunPlanner runPlanner) {
        return part -> {
            count(part.task());
            return runPlanner.plan(part);
        };
    }

    /**
     * Lists all attempts that began.
     *
     * @return one entry for each attempt
     */
    public synchronized PlatformMessages.RunList runs() {
        return new PlatformMessages.RunList(List.copyOf(runs.values()));
    }

    private synchronized void count(TaskId task) {
        AttemptId attempt = task.attempt();
        runs.merge(
                attempt.toString(),
                new PlatformMessages.Run(attempt.job().value(), attempt.number(), 1),
                (known, added) -> new PlatformMessages.Run(known.job(), known.attempt(), known.parts() + 1));
    }
}
