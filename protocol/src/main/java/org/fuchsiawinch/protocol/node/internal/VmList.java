package org.fuchsiawinch.protocol.node.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/** The platform's list of workers, which lags: a worker is gone only once it was missing for the bound of the lag. */
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

    /** Gives the time in ms since the epoch at which the list was last read. */
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
