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
    private int pendingClaims;
    private GangPlacement location;
    private MutableResources[] inUse;
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

    /** Returns the workers assigned to the shape, or null if the unit is not placed. */
    GangPlacement location() {
        return location;
    }

    boolean unused() {
        return attempts.isEmpty() && pendingClaims == 0;
    }

    boolean hasPendingClaims() {
        return pendingClaims > 0;
    }

    /** Changes the number of claims on the unit that wait for their capacity. */
    void addPendingClaims(int change) {
        pendingClaims += change;
    }

    /** Returns whether the unit is not placed but was since its last alarm. */
    boolean lost() {
        return location == null && wasPlaced;
    }

    boolean alarmed() {
        return alarmed;
    }

    void markAlarmed() {
        alarmed = true;
        wasPlaced = false;
    }

    /** Assigns workers and commits their capacity. */
    void place(GangPlacement placement) {
        location = placement;
        inUse = new MutableResources[placement.workers().length];
        Arrays.setAll(inUse, i -> new MutableResources());
        for (int i = 0; i < inUse.length; i++) {
            Worker worker = placement.workers()[i];
            worker.committed().add(shape.perPart(), placement.counts()[i]);
            worker.units().add(this);
            worker.invalidateBounds();
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
            worker.capacityGrew();
        }
        location = null;
        inUse = null;
    }

    int partsOn(Worker worker) {
        int at = indexOf(worker);
        return at < 0 ? 0 : location.counts()[at];
    }

    boolean usesUnavailableWorker() {
        return Arrays.stream(location.workers()).anyMatch(worker -> !worker.acceptsWork());
    }

    /**
     * Returns whether every accelerator of the unit is in use; without accelerators, whether the unit is in use at all.
     * The unit must be placed.
     */
    boolean full() {
        if (shape.accelerators() == 0) {
            return !unused();
        }
        int allocated = 0;
        for (MutableResources amounts : inUse) {
            allocated += amounts.accelerators();
        }
        return allocated >= shape.accelerators();
    }

    /**
     * Returns how many parts fit into the unused capacity of the unit on a worker. Memory may exceed the unit's by what
     * is not committed on the worker.
     */
    int fittingParts(Worker worker, Resources need) {
        int at = indexOf(worker);
        if (at < 0) {
            return 0;
        }
        Resources perPart = shape.perPart();
        int count = location.counts()[at];
        MutableResources allocated = inUse[at];
        int spareMemoryMb =
                Math.max(0, worker.capacity().memoryMb() - worker.committed().memoryMb());
        int memoryMb = perPart.memoryMb() * count - allocated.memoryMb() + spareMemoryMb;
        int fitting = MutableResources.quotient(
                perPart.accelerators() * count - allocated.accelerators(), need.accelerators());
        fitting = Math.min(
                fitting,
                MutableResources.quotient(perPart.cpuMillis() * count - allocated.cpuMillis(), need.cpuMillis()));
        fitting = Math.min(fitting, MutableResources.quotient(memoryMb, need.memoryMb()));
        fitting =
                Math.min(fitting, MutableResources.quotient(perPart.slots() * count - allocated.slots(), need.slots()));
        return Math.min(
                fitting,
                MutableResources.quotient(perPart.connections() * count - allocated.connections(), need.connections()));
    }

    /**
     * Allocates capacity of the unit to a gang.
     *
     * @return the memory in MiB beyond the unit's for each group of consecutive parts, or null for none
     */
    int[] allocate(GangPlacement placement, Resources perPart) {
        int[] excess = new int[placement.workers().length];
        boolean any = false;
        for (int i = 0; i < excess.length; i++) {
            Worker worker = placement.workers()[i];
            int at = indexOf(worker);
            int count = placement.counts()[i];
            int leftMb = shape.perPart().memoryMb() * location.counts()[at] - inUse[at].memoryMb();
            excess[i] = Math.max(0, perPart.memoryMb() * count - leftMb);
            any |= excess[i] > 0;
            inUse[at].add(perPart, count);
            inUse[at].addMemory(-excess[i]);
            worker.committed().addMemory(excess[i]);
            worker.invalidateBounds();
        }
        return any ? excess : null;
    }

    /** Reverses an allocation, given the excess memory that it returned. */
    void release(GangPlacement placement, Resources perPart, int[] excess) {
        for (int i = 0; i < placement.workers().length; i++) {
            Worker worker = placement.workers()[i];
            int over = excess == null ? 0 : excess[i];
            int at = indexOf(worker);
            inUse[at].add(perPart, -placement.counts()[i]);
            inUse[at].addMemory(over);
            worker.committed().addMemory(-over);
            worker.capacityChanged(over > 0 ? -1 : 1);
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
