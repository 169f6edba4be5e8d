package org.fuchsiawinch.protocol.node.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.worker.WorkerCommand;

/**
 * Rate limiter that drops repeated commands for the same part within an interval. Otherwise each reply of a worker
 * would cause further commands, whose replies would cause more. Not thread-safe.
 */
public final class CommandRateLimiter {

    private final long intervalMs;
    private final Map<CommandKey, Long> lastSentMs = new HashMap<>();
    private long lastPurgeMs;

    /**
     * Creates a limiter that has admitted no command yet.
     *
     * @param intervalMs shortest time in ms between two commands of the same kind for the same part
     */
    public CommandRateLimiter(long intervalMs) {
        this.intervalMs = intervalMs;
    }

    /**
     * Returns whether a command may be sent now; if so, records it as sent. Commands that concern no single part, and
     * prepare commands, are never dropped.
     *
     * @param command the command
     * @param nowMs current Unix time in ms
     * @return false if a command of the same kind for the same part was sent to the worker within the interval
     */
    public boolean admit(NodeEffect.Command command, long nowMs) {
        Optional<TaskId> task = taskOf(command.command());
        if (task.isEmpty()) {
            return true;
        }
        removeElapsed(nowMs);
        CommandKey key = new CommandKey(command.worker(), command.command().getClass(), task.get());
        Long last = lastSentMs.get(key);
        if (last != null && nowMs - last < intervalMs) {
            return false;
        }
        lastSentMs.put(key, nowMs);
        return true;
    }

    private void removeElapsed(long nowMs) {
        if (nowMs - lastPurgeMs < intervalMs) {
            return;
        }
        lastPurgeMs = nowMs;
        lastSentMs.values().removeIf(last -> nowMs - last >= intervalMs);
    }

    private static Optional<TaskId> taskOf(WorkerCommand command) {
        if (command instanceof WorkerCommand.Release release) {
            return Optional.of(release.task());
        }
        if (command instanceof WorkerCommand.Stop stop) {
            return Optional.of(stop.task());
        }
        if (command instanceof WorkerCommand.Forget forget) {
            return Optional.of(forget.task());
        }
        return Optional.empty();
    }

    /**
     * Key of commands that repeat each other.
     *
     * @param worker receiver of the command
     * @param kind class of the command
     * @param task the part
     */
    private record CommandKey(WorkerId worker, Class<?> kind, TaskId task) {}
}
