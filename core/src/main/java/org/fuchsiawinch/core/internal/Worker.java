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
    private final FitMemo memo;
    private final List<Attempt> attempts = new ArrayList<>(4);
    private final List<GuaranteeUnit> units = new ArrayList<>(2);
    private final Amounts used = new Amounts();
    private final Amounts stopping = new Amounts();
    private final Amounts held = new Amounts();
    private final Amounts committed = new Amounts();
    private Resources capacity = Resources.NONE;
    private WorkerSpec spec;
    private Rack rack;
    private boolean leaving;
    private boolean inDoubt;
    private boolean quarantined;

    Worker(WorkerId id, FitMemo memo) {
        this.id = id;
        this.memo = memo;
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

    Amounts used() {
        return used;
    }

    Amounts stopping() {
        return stopping;
    }

    Amounts held() {
        return held;
    }

    Amounts committed() {
        return committed;
    }

    boolean joined() {
        return spec != null;
    }

    boolean open() {
        return spec != null && !leaving && !inDoubt && !quarantined;
    }

    void join(WorkerSpec newSpec, Rack newRack) {
        spec = newSpec;
        rack = newRack;
        capacity = newSpec.capacity();
        leaving = false;
        inDoubt = false;
        grew();
    }

    void lose() {
        changed();
        spec = null;
        rack = null;
        capacity = Resources.NONE;
    }

    void leave() {
        leaving = true;
        changed();
    }

    void doubt() {
        inDoubt = true;
        changed();
    }

    void quarantine(boolean on) {
        quarantined = on;
        changed(on ? 1 : -1);
    }

    /** Invalidates the cached bounds of the rack. */
    void changed() {
        if (rack != null) {
            rack.markStale();
        }
    }

    /** Records that more parts may fit than before. */
    void grew() {
        changed();
        memo.grew(this);
    }

    /** Records a change of the free or claimable capacity: less for a positive sign, otherwise more. */
    void changed(int sign) {
        if (sign > 0) {
            changed();
        } else {
            grew();
        }
    }

    /** Returns the accelerators that are neither used nor held for pending starts. */
    int freeAccelerators() {
        return capacity.accelerators() - used.accelerators() - held.accelerators();
    }

    /** Returns how many parts fit into the given space of this worker, even if it accepts no new work. */
    int room(Space space, Resources part, boolean acceleratorsOnly) {
        if (space == Space.ANY) {
            return Integer.MAX_VALUE;
        }
        if (space == Space.FREE) {
            return fitting(used, held, part, acceleratorsOnly);
        }
        int claimable = fitting(committed, null, part, acceleratorsOnly);
        if (space == Space.CLAIMABLE || claimable <= 0) {
            return claimable;
        }
        return Math.min(claimable, fitting(used, held, part, acceleratorsOnly));
    }

    /** Returns whether the used amounts plus the given parts are within the capacity. */
    boolean bears(Resources part, int count) {
        return within(used.cpuMillis() + part.cpuMillis() * count, capacity.cpuMillis())
                && within(used.memoryMb() + part.memoryMb() * count, capacity.memoryMb())
                && within(used.accelerators() + part.accelerators() * count, capacity.accelerators())
                && within(used.slots() + part.slots() * count, capacity.slots())
                && within(used.connections() + part.connections() * count, capacity.connections());
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

    private int fitting(Amounts taken, Amounts more, Resources part, boolean acceleratorsOnly) {
        int count = Amounts.quotient(
                capacity.accelerators() - taken.accelerators() - (more == null ? 0 : more.accelerators()),
                part.accelerators());
        if (count <= 0 || acceleratorsOnly) {
            return count;
        }
        count = Math.min(
                count,
                Amounts.quotient(
                        capacity.cpuMillis() - taken.cpuMillis() - (more == null ? 0 : more.cpuMillis()),
                        part.cpuMillis()));
        count = Math.min(
                count,
                Amounts.quotient(
                        capacity.memoryMb() - taken.memoryMb() - (more == null ? 0 : more.memoryMb()),
                        part.memoryMb()));
        count = Math.min(
                count,
                Amounts.quotient(capacity.slots() - taken.slots() - (more == null ? 0 : more.slots()), part.slots()));
        return Math.min(
                count,
                Amounts.quotient(
                        capacity.connections() - taken.connections() - (more == null ? 0 : more.connections()),
                        part.connections()));
    }
}
