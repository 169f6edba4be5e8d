package org.fuchsiawinch.protocol.node.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.worker.WorkerCommand;

/**
 * Drops repeated commands for the same part within an interval, so that each answer of a worker does not bring about
 * further commands without bound. Not thread-safe.
 */
public final class CommandPacer {

    private final long intervalMs;
    private final Map<Key, Long> sentMs = new HashMap<>();
    private long purgedMs;

    /**
     * Creates a pacer.
     *
     * @param intervalMs least time in ms between two equal commands for one part
     */
    public CommandPacer(long intervalMs) {
        this.intervalMs = intervalMs;
    }

    /**
     * Says whether a command is to be sent now, and notes that it is.
     *
     * @param command the command
     * @param nowMs present time in ms since the epoch
     * @return false if an equal one was sent within the interval
     */
    public boolean admit(NodeEffect.Command command, long nowMs) {
        Optional<TaskId> task = taskOf(command.command());
        if (task.isEmpty()) {
            return true;
        }
        purge(nowMs);
        Key key = new Key(command.worker(), command.command().getClass(), task.get());
        Long last = sentMs.get(key);
        if (last != null && nowMs - last < intervalMs) {
            return false;
        }
        sentMs.put(key, nowMs);
        return true;
    }

    private void purge(long nowMs) {
        if (nowMs - purgedMs < intervalMs) {
            return;
        }
        purgedMs = nowMs;
        sentMs.values().removeIf(last -> nowMs - last >= intervalMs);
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
     * What makes two commands equal.
     *
     * @param worker the receiver
     * @param kind kind of command
     * @param task the part
     */
    private record Key(WorkerId worker, Class<?> kind, TaskId task) {}
}
