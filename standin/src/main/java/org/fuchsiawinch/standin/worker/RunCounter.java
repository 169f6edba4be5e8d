package org.fuchsiawinch.standin.worker;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.wire.PlatformMessages;

/** Counts the parts of each attempt that workers have begun to run. Thread-safe. */
public final class RunCounter {

    private final Map<String, PlatformMessages.Run> runs = new TreeMap<>();

    /** Creates a counter without attempts. */
    public RunCounter() {
        // starts empty
    }

    /**
     * Wraps a planner so that each planned run is counted.
     *
     * @param runPlanner the planner to wrap
     * @return a planner that counts the part and then delegates to the wrapped one
     */
    public RunPlanner counting(RunPlanner runPlanner) {
        return part -> {
            count(part.task());
            return runPlanner.plan(part);
        };
    }

    /**
     * Returns the attempts of which at least one part has begun.
     *
     * @return one entry for each attempt, with the number of its begun parts, sorted by the text of the attempt id
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
