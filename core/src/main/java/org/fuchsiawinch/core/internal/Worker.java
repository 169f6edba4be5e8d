package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/**
 * A worker's capacity and the amounts that count against it: {@code used} by all running attempts, {@code stopping} as
 * the part of it used by attempts that were requested to stop, {@code held} for pending starts, and {@code committed}
 * to guarantees and non-preemptible work. Guarantees can be reclaimed as long as {@code committed} is within the
 * capacity. Not thread-safe.
 */
final class Worker {

    private final WorkerId id;
    private final MisfitCache misfitCache;
    private final List<Attempt> attempts = new ArrayList<>(4);
    private final List<GuaranteeUnit> units = new ArrayList<>(2);
    private final MutableResources used = new MutableResources();
    private final MutableResources stopping = new MutableResources();
    private final MutableResources held = new MutableResources();
    private final MutableResources committed = new MutableResources();
    private Resources capacity = Resources.NONE;
    private WorkerSpec spec;
    private Rack rack;
    private boolean leaving;
    private boolean unreachable;
    private boolean quarantined;

    Worker(WorkerId id, MisfitCache misfitCache) {
        this.id = id;
        this.misfitCache = misfitCache;
    }

    WorkerId id() {
        return id;
    }

    WorkerSpec spec() {
        return spec;
    }

    Rack rack() {
        return rack;
    }

    /** Returns the relative speed; 1.0 for a worker that has not joined. */
    double speed() {
        return spec == null ? 1.0 : spec.speed();
    }

    Resources capacity() {
        return capacity;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    List<GuaranteeUnit> units() {
        return units;
    }

    MutableResources used() {
        return used;
    }

    MutableResources stopping() {
        return stopping;
    }

    MutableResources held() {
        return held;
    }

    MutableResources committed() {
        return committed;
    }

    boolean joined() {
        return spec != null;
    }

    /** Returns whether the worker has joined and is neither leaving, unreachable nor quarantined. */
    boolean acceptsWork() {
        return spec != null && !leaving && !unreachable && !quarantined;
    }

    void join(WorkerSpec newSpec, Rack newRack) {
        spec = newSpec;
        rack = newRack;
        capacity = newSpec.capacity();
        leaving = false;
        unreachable = false;
        capacityGrew();
    }

    void markLost() {
        invalidateBounds();
        spec = null;
        rack = null;
        capacity = Resources.NONE;
    }

    void markLeaving() {
        leaving = true;
        invalidateBounds();
    }

    void markUnreachable() {
        unreachable = true;
        invalidateBounds();
    }

    void quarantine(boolean on) {
        quarantined = on;
        capacityChanged(on ? 1 : -1);
    }

    /** Invalidates the cached bounds of the rack. */
    void invalidateBounds() {
        if (rack != null) {
            rack.markStale();
        }
    }

    /** Records that more parts may fit than before. */
    void capacityGrew() {
        invalidateBounds();
        misfitCache.capacityGrew(this);
    }

    /** Records a change of the free or claimable capacity: less for a positive sign, otherwise more. */
    void capacityChanged(int sign) {
        if (sign > 0) {
            invalidateBounds();
        } else {
            capacityGrew();
        }
    }

    /** Returns the accelerators that are neither used nor held for pending starts. */
    int freeAccelerators() {
        return capacity.accelerators() - used.accelerators() - held.accelerators();
    }

    /** Returns how many parts fit into the given scope of this worker, even if it accepts no new work. */
    int fittingParts(CapacityScope scope, Resources perPart, boolean acceleratorsOnly) {
        if (scope == CapacityScope.ANY) {
            return Integer.MAX_VALUE;
        }
        if (scope == CapacityScope.FREE) {
            return countFitting(used, held, perPart, acceleratorsOnly);
        }
        int claimable = countFitting(committed, null, perPart, acceleratorsOnly);
        if (scope == CapacityScope.CLAIMABLE || claimable <= 0) {
            return claimable;
        }
        return Math.min(claimable, countFitting(used, held, perPart, acceleratorsOnly));
    }

    /** Returns whether the used amounts plus the given parts are within the capacity. */
    boolean hasCapacityFor(Resources perPart, int count) {
        return within(used.cpuMillis() + perPart.cpuMillis() * count, capacity.cpuMillis())
                && within(used.memoryMb() + perPart.memoryMb() * count, capacity.memoryMb())
                && within(used.accelerators() + perPart.accelerators() * count, capacity.accelerators())
                && within(used.slots() + perPart.slots() * count, capacity.slots())
                && within(used.connections() + perPart.connections() * count, capacity.connections());
    }

    /** Returns whether the committed amounts exceed the capacity. */
    boolean overCommitted() {
        return committed.cpuMillis() > capacity.cpuMillis()
                || committed.memoryMb() > capacity.memoryMb()
                || committed.accelerators() > capacity.accelerators()
                || committed.slots() > capacity.slots()
                || committed.connections() > capacity.connections();
    }

    private static boolean within(int need, int available) {
        return need <= available;
    }

    private int countFitting(
            MutableResources taken, MutableResources more, Resources perPart, boolean acceleratorsOnly) {
        int count = MutableResources.quotient(
                capacity.accelerators() - taken.accelerators() - (more == null ? 0 : more.accelerators()),
                perPart.accelerators());
        if (count <= 0 || acceleratorsOnly) {
            return count;
        }
        count = Math.min(
                count,
                MutableResources.quotient(
                        capacity.cpuMillis() - taken.cpuMillis() - (more == null ? 0 : more.cpuMillis()),
                        perPart.cpuMillis()));
        count = Math.min(
                count,
                MutableResources.quotient(
                        capacity.memoryMb() - taken.memoryMb() - (more == null ? 0 : more.memoryMb()),
                        perPart.memoryMb()));
        count = Math.min(
                count,
                MutableResources.quotient(
                        capacity.slots() - taken.slots() - (more == null ? 0 : more.slots()), perPart.slots()));
        return Math.min(
                count,
                MutableResources.quotient(
                        capacity.connections() - taken.connections() - (more == null ? 0 : more.connections()),
                        perPart.connections()));
    }
}
