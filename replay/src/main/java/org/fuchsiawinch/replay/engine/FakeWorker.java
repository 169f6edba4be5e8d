package org.fuchsiawinch.replay.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerSpec;

/**
 * State of one fake worker: its reachability, the memory of its running parts and reports not delivered yet. Not
 * thread-safe.
 */
final class FakeWorker {

    /** Whether a worker runs and can be reached. */
    enum State {
        /** Runs and is reachable. */
        UP,
        /** Runs but is unreachable. */
        SILENT,
        /** Down; nothing runs on it. */
        DOWN
    }

    final WorkerSpec spec;
    final Map<TaskId, Integer> trueMemoryMb = new HashMap<>();
    final List<Runnable> undeliveredReports = new ArrayList<>();
    State state = State.DOWN;
    boolean leaving;
    boolean lossReported = true;
    long faultyUntilMs;
    int incarnation;
    int attemptCount;

    FakeWorker(WorkerSpec spec) {
        this.spec = spec;
    }

    boolean reachable() {
        return state == State.UP;
    }

    boolean faulty(long nowMs) {
        return nowMs < faultyUntilMs;
    }

    int usedMemoryMb() {
        return trueMemoryMb.values().stream().mapToInt(Integer::intValue).sum();
    }
}
