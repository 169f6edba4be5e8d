package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.model.Resources;

/** The workers of a rack in order of id, with cached upper bounds that let a search skip it. Not thread-safe. */
final class Rack {

    private final DataCentre dataCentre;
    private final String name;
    private final List<Worker> workers = new ArrayList<>();
    private boolean stale = true;
    private int maxFreeAccelerators;
    private int maxFreeMemoryMb;
    private int maxClaimableAccelerators;
    private int freeAccelerators;
    private int capacityAccelerators;

    Rack(DataCentre dataCentre, String name) {
        this.dataCentre = dataCentre;
        this.name = name;
    }

    DataCentre dataCentre() {
        return dataCentre;
    }

    String name() {
        return name;
    }

    List<Worker> workers() {
        return workers;
    }

    void add(Worker worker) {
        int at = 0;
        while (at < workers.size() && workers.get(at).id().compareTo(worker.id()) < 0) {
            at++;
        }
        workers.add(at, worker);
        markStale();
    }

    void remove(Worker worker) {
        workers.remove(worker);
        markStale();
    }

    void markStale() {
        stale = true;
        dataCentre.markStale();
    }

    /** Returns how many accelerators are neither used nor held for pending starts on workers that accept work. */
    int freeAccelerators() {
        refresh();
        return freeAccelerators;
    }

    /** Returns how many accelerators the workers that accept work have. */
    int capacityAccelerators() {
        refresh();
        return capacityAccelerators;
    }

    /** Returns whether a part may fit on a worker of the rack; false only if it fits on none. */
    boolean mayHold(CapacityScope scope, Resources perPart, boolean acceleratorsOnly) {
        refresh();
        if (scope == CapacityScope.ANY) {
            return true;
        }
        if (scope == CapacityScope.CLAIMABLE) {
            return perPart.accelerators() <= maxClaimableAccelerators;
        }
        if (perPart.accelerators() > maxFreeAccelerators) {
            return false;
        }
        return acceleratorsOnly || perPart.memoryMb() <= maxFreeMemoryMb;
    }

    private void refresh() {
        if (!stale) {
            return;
        }
        stale = false;
        maxFreeAccelerators = -1;
        maxFreeMemoryMb = -1;
        maxClaimableAccelerators = -1;
        freeAccelerators = 0;
        capacityAccelerators = 0;
        for (Worker worker : workers) {
            if (worker.acceptsWork()) {
                include(worker);
            }
        }
    }

    private void include(Worker worker) {
        Resources capacity = worker.capacity();
        int free = worker.freeAccelerators();
        freeAccelerators += Math.max(0, free);
        capacityAccelerators += capacity.accelerators();
        maxFreeAccelerators = Math.max(maxFreeAccelerators, free);
        int freeMemoryMb =
                capacity.memoryMb() - worker.used().memoryMb() - worker.held().memoryMb();
        maxFreeMemoryMb = Math.max(maxFreeMemoryMb, freeMemoryMb);
        maxClaimableAccelerators = Math.max(
                maxClaimableAccelerators,
                capacity.accelerators() - worker.committed().accelerators());
    }
}
