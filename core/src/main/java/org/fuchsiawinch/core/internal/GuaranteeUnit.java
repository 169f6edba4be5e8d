package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkspaceId;

/**
 * One guaranteed shape of a workspace with the workers assigned to it. Its capacity counts as committed on these
 * workers until the unit is moved; attempts inside the unit use that capacity. Not thread-safe.
 */
final class GuaranteeUnit {

    private final WorkspaceId workspace;
    private final Shape shape;
    private final int index;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private int pending;
    private Gang location;
    private Amounts[] inUse;
    private boolean alarmed;
    private boolean wasPlaced;

    GuaranteeUnit(WorkspaceId workspace, Shape shape, int index) {
        this.workspace = workspace;
        this.shape = shape;
        this.index = index;
    }

    WorkspaceId workspace() {
        return workspace;
    }

    Shape shape() {
        return shape;
    }

    int index() {
        return index;
    }

    /** Returns the attempts that run inside the unit; modifiable. */
    List<Attempt> attempts() {
        return attempts;
    }

    boolean placed() {
        return location != null;
    }

    /** Returns the workers assigned to the shape, or null if the unit has no place. */
    Gang location() {
        return location;
    }

    boolean empty() {
        return attempts.isEmpty() && pending == 0;
    }

    boolean hasPending() {
        return pending > 0;
    }

    void addPending(int change) {
        pending += change;
    }

    /** Returns whether the unit has no place but had one since its last alarm. */
    boolean lost() {
        return location == null && wasPlaced;
    }

    boolean alarmed() {
        return alarmed;
    }

    void raiseAlarm() {
        alarmed = true;
        wasPlaced = false;
    }

    /** Assigns workers and commits their capacity. */
    void place(Gang gang) {
        location = gang;
        inUse = new Amounts[gang.workers().length];
        Arrays.setAll(inUse, i -> new Amounts());
        for (int i = 0; i < inUse.length; i++) {
            Worker worker = gang.workers()[i];
            worker.committed().add(shape.perPart(), gang.counts()[i]);
            worker.units().add(this);
            worker.changed();
        }
        alarmed = false;
        wasPlaced = true;
    }

    /** Releases the committed capacity and clears the assigned workers. */
    void unplace() {
        for (int i = 0; i < inUse.length; i++) {
            Worker worker = location.workers()[i];
            worker.committed().add(shape.perPart(), -location.counts()[i]);
            worker.units().remove(this);
            worker.grew();
        }
        location = null;
        inUse = null;
    }

    int partsOn(Worker worker) {
        int at = indexOf(worker);
        return at < 0 ? 0 : location.counts()[at];
    }

    boolean touchesClosedWorker() {
        return Arrays.stream(location.workers()).anyMatch(worker -> !worker.open());
    }

    /** Returns whether every accelerator of the unit is in use. */
    boolean full() {
        if (shape.accelerators() == 0) {
            return !empty();
        }
        int taken = 0;
        for (Amounts amounts : inUse) {
            taken += amounts.accelerators();
        }
        return taken >= shape.accelerators();
    }

    /**
     * Returns how many parts fit into the unused capacity of the unit on a worker. Memory may exceed the unit's by what
     * is not committed on the worker.
     */
    int room(Worker worker, Resources need) {
        int at = indexOf(worker);
        if (at < 0) {
            return 0;
        }
        Resources part = shape.perPart();
        int count = location.counts()[at];
        Amounts taken = inUse[at];
        int spareMemoryMb =
                Math.max(0, worker.capacity().memoryMb() - worker.committed().memoryMb());
        int memoryMb = part.memoryMb() * count - taken.memoryMb() + spareMemoryMb;
        int room = Amounts.quotient(part.accelerators() * count - taken.accelerators(), need.accelerators());
        room = Math.min(room, Amounts.quotient(part.cpuMillis() * count - taken.cpuMillis(), need.cpuMillis()));
        room = Math.min(room, Amounts.quotient(memoryMb, need.memoryMb()));
        room = Math.min(room, Amounts.quotient(part.slots() * count - taken.slots(), need.slots()));
        return Math.min(room, Amounts.quotient(part.connections() * count - taken.connections(), need.connections()));
    }

    /**
     * Allocates capacity of the unit to a gang.
     *
     * @return the memory in MiB beyond the unit's for each run of parts, or null for none
     */
    int[] take(Gang gang, Resources part) {
        int[] excess = new int[gang.workers().length];
        boolean any = false;
        for (int i = 0; i < excess.length; i++) {
            Worker worker = gang.workers()[i];
            int at = indexOf(worker);
            int count = gang.counts()[i];
            int leftMb = shape.perPart().memoryMb() * location.counts()[at] - inUse[at].memoryMb();
            excess[i] = Math.max(0, part.memoryMb() * count - leftMb);
            any |= excess[i] > 0;
            inUse[at].add(part, count);
            inUse[at].addMemory(-excess[i]);
            worker.committed().addMemory(excess[i]);
            worker.changed();
        }
        return any ? excess : null;
    }

    /** Reverses an allocation, given the excess memory that it returned. */
    void give(Gang gang, Resources part, int[] excess) {
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            int over = excess == null ? 0 : excess[i];
            int at = indexOf(worker);
            inUse[at].add(part, -gang.counts()[i]);
            inUse[at].addMemory(over);
            worker.committed().addMemory(-over);
            worker.changed(over > 0 ? -1 : 1);
        }
    }

    private int indexOf(Worker worker) {
        Worker[] workers = location.workers();
        for (int i = 0; i < workers.length; i++) {
            if (workers[i] == worker) {
                return i;
            }
        }
        return -1;
    }
}
