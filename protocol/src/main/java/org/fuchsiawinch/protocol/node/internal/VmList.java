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
final class VmList {

    private final long lagBoundMs;
    private final Map<WorkerId, Long> lastListedMs = new HashMap<>();
    private List<WorkerSpec> workers = List.of();
    private Set<WorkerId> leaving = Set.of();
    private long firstMs = -1;
    private long lastMs;

    VmList(long lagBoundMs) {
        this.lagBoundMs = lagBoundMs;
    }

    void take(List<WorkerSpec> all, List<WorkerId> leavingNow, long nowMs) {
        workers = all;
        leaving = Set.copyOf(leavingNow);
        firstMs = firstMs < 0 ? nowMs : firstMs;
        lastMs = nowMs;
        all.forEach(worker -> lastListedMs.put(worker.id(), nowMs));
        lastListedMs.values().removeIf(listedMs -> nowMs - listedMs > 2 * lagBoundMs);
    }

    /** Returns the Unix time in ms at which the list was last read. */
    long lastMs() {
        return lastMs;
    }

    List<WorkerSpec> workers() {
        return workers;
    }

    boolean leaving(WorkerId worker) {
        return leaving.contains(worker);
    }

    boolean gone(WorkerId worker) {
        return firstMs >= 0 && lastMs - lastListedMs.getOrDefault(worker, firstMs) >= lagBoundMs;
    }
}
