package org.fuchsiawinch.workflow.owner;

import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keeps new work off the workers in drained data centres. What runs there may end; assignments that no worker has been
 * told of are withdrawn. If drains have a bound, nothing starts anywhere while the owner does not know the requests of
 * the last half of it: it may own the cell although its reads of the operators' stream are not answered. Not
 * thread-safe.
 */
final class DrainedWorkers {

    /** Divisor of the bound that yields the longest age of a read; the rest is for orders that are on their way. */
    private static final long READ_AGE_DIVISOR = 2;

    private final CellState state;
    private Set<String> dataCentres = Set.of();

    /** Time in ms of the last read of the operators' stream to its end. */
    private long readMs = CellState.NEVER_MS;

    DrainedWorkers(CellState state) {
        this.state = state;
    }

    /** Handles a read of the operators' stream to its end at a time in ms. */
    void read(Set<String> drained, long atMs) {
        readMs = atMs;
        if (drained.equals(dataCentres)) {
            return;
        }
        Set<String> changed = new TreeSet<>(dataCentres);
        changed.addAll(drained);
        changed.removeIf(dataCentre -> drained.contains(dataCentre) && dataCentres.contains(dataCentre));
        dataCentres = drained;
        state.workers.values().forEach(this::registered);
        changed.forEach(this::logChange);
    }

    /** Applies the requests to a worker whose registration may have changed. */
    void registered(WorkerState worker) {
        worker.drained = isDrained(worker);
    }

    /** Returns whether the requests in force are known well enough to order starts. */
    boolean known(long nowMs) {
        OptionalLong boundMs = state.settings.drainBoundMs();
        return boundMs.isEmpty() || nowMs - readMs <= boundMs.getAsLong() / READ_AGE_DIVISOR;
    }

    private boolean isDrained(WorkerState worker) {
        return worker.registration != null && dataCentres.contains(worker.registration.dataCentre());
    }

    private void logChange(String dataCentre) {
        boolean drained = dataCentres.contains(dataCentre);
        state.log.count(drained ? "data-centres.drained" : "data-centres.restored");
        int workers = 0;
        int runs = 0;
        for (WorkerState worker : state.workers.values()) {
            if (worker.registration != null && worker.registration.dataCentre().equals(dataCentre)) {
                workers++;
                runs += worker.runs.size();
            }
        }
        state.log.line(
                "data-centre-drained", "dataCentre", dataCentre, "drained", drained, "workers", workers, "runs", runs);
    }
}
