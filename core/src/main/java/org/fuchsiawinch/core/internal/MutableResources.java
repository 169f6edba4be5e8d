package org.fuchsiawinch.core.internal;

import org.fuchsiawinch.model.Resources;

/** Mutable amounts of the five resources; single amounts may be negative. Not thread-safe. */
final class MutableResources {

    private int cpuMillis;
    private int memoryMb;
    private int accelerators;
    private int slots;
    private int connections;

    /** Adds resources the given number of times; subtracts them for a negative number. */
    void add(Resources resources, int times) {
        cpuMillis += resources.cpuMillis() * times;
        memoryMb += resources.memoryMb() * times;
        accelerators += resources.accelerators() * times;
        slots += resources.slots() * times;
        connections += resources.connections() * times;
    }

    void add(MutableResources other, int times) {
        cpuMillis += other.cpuMillis * times;
        memoryMb += other.memoryMb * times;
        accelerators += other.accelerators * times;
        slots += other.slots * times;
        connections += other.connections * times;
    }

    /** Returns how many parts fit into a capacity once these amounts are subtracted from it. */
    int fittingParts(Resources capacity, Resources perPart) {
        int count = quotient(capacity.accelerators() - accelerators, perPart.accelerators());
        count = Math.min(count, quotient(capacity.cpuMillis() - cpuMillis, perPart.cpuMillis()));
        count = Math.min(count, quotient(capacity.memoryMb() - memoryMb, perPart.memoryMb()));
        count = Math.min(count, quotient(capacity.slots() - slots, perPart.slots()));
        return Math.min(count, quotient(capacity.connections() - connections, perPart.connections()));
    }

    /** Returns how often a need fits into an available amount; {@link Integer#MAX_VALUE} for a need of 0. */
    static int quotient(int available, int need) {
        if (need <= 0) {
            return Integer.MAX_VALUE;
        }
        return available < need ? 0 : available / need;
    }

    void addMemory(int megabytes) {
        memoryMb += megabytes;
    }

    int cpuMillis() {
        return cpuMillis;
    }

    int memoryMb() {
        return memoryMb;
    }

    int accelerators() {
        return accelerators;
    }

    int slots() {
        return slots;
    }

    int connections() {
        return connections;
    }
}
