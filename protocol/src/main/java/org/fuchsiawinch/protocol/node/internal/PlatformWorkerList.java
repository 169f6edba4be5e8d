package org.fuchsiawinch.protocol.node.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/**
 * Latest version of the platform's list of workers. As the list lags, a worker counts as gone only once it has been
 * missing for the upper bound of the lag. Not thread-safe.
 */
final class PlatformWorkerList {

    private final long lagBoundMs;
    private final Map<WorkerId, Long> lastListedMs = new HashMap<>();
    private List<WorkerSpec> workers = List.of();
    private Set<WorkerId> leaving = Set.of();
    private long firstReadMs = -1;
    private long lastReadMs;

    PlatformWorkerList(long lagBoundMs) {
        this.lagBoundMs = lagBoundMs;
    }

    void update(List<WorkerSpec> listed, List<WorkerId> listedLeaving, long nowMs) {
        workers = listed;
        leaving = Set.copyOf(listedLeaving);
        firstReadMs = firstReadMs < 0 ? nowMs : firstReadMs;
        lastReadMs = nowMs;
        listed.forEach(worker -> lastListedMs.put(worker.id(), nowMs));
        // a worker without an entry counts as missing since the first read, so old entries may be dropped
        lastListedMs.values().removeIf(listedMs -> nowMs - listedMs > 2 * lagBoundMs);
    }

    /** Returns the Unix time in ms at which the list was last read. */
    long lastReadMs() {
        return lastReadMs;
    }

    List<WorkerSpec> workers() {
        return workers;
    }

    boolean leaving(WorkerId worker) {
        return leaving.contains(worker);
    }

    boolean gone(WorkerId worker) {
        return firstReadMs >= 0 && lastReadMs - lastListedMs.getOrDefault(worker, firstReadMs) >= lagBoundMs;
    }
}
