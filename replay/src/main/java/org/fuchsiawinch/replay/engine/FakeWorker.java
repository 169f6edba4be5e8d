package org.fuchsiawinch.replay.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerSpec;

/** One fake worker: whether it serves, what runs on it and what it couldn't report yet. Not thread-safe. */
final class FakeWorker {

    /** Whether a worker serves. */
    enum State {
        /** Serves and can be reached. */
        UP,
        /** Runs but can't be reached. */
        SILENT,
        /** Runs nothing. */
        GONE
    }

    final WorkerSpec spec;
    final Map<TaskId, Integer> trueMemoryMb = new HashMap<>();
    final List<Runnable> heldReports = new ArrayList<>();
    State state = State.GONE;
    boolean leaving;
    boolean lossTold = true;
    long faultyUntilMs;
    int incarnation;
    int gangs;

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
