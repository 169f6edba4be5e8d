package org.fuchsiawinch.server.failure;

import java.util.Optional;

import org.fuchsiawinch.workflow.owner.DecisionLog;

/**
 * Runs actions whose unexpected failure must not end their caller. Each failure is counted and logged in one line. As
 * thread-safe as its log.
 */
public final class FailureBarrier {

    private final DecisionLog log;

    /**
     * Creates a barrier.
     *
     * @param log receives a line and a count for each failure
     */
    public FailureBarrier(DecisionLog log) {
        this.log = log;
    }

    /**
     * Runs an action and contains its failure, also an {@link Error}: one entry or message for which memory or stack do
     * not suffice must not end what follows it.
     *
     * @param task what the action does, as a short name for log and counter
     * @param action the action
     * @return the failure; empty if the action completed
     */
    public Optional<Throwable> run(String task, Runnable action) {
        try {
            action.run();
            return Optional.empty();
        } catch (RuntimeException | Error failure) {
            report(task, failure);
            return Optional.of(failure);
        }
    }

    /**
     * Logs and counts a failure.
     *
     * @param task what failed, as a short name for log and counter
     * @param failure the failure
     */
    public void report(String task, Throwable failure) {
        StackTraceElement[] frames = failure.getStackTrace();
        log.count("failures." + task);
        log.line(
                "unexpected-failure",
                "task",
                task,
                "problem",
                failure,
                "at",
                frames.length == 0 ? "unknown" : frames[0]);
    }
}
