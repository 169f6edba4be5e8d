package org.fuchsiawinch.core.internal;

import org.fuchsiawinch.model.Resources;

/** A mutable amount of each of the five resources. Not thread-safe. */
final class Amounts {

    private int cpuMillis;
    private int memoryMb;
    private int accelerators;
    private int slots;
    private int connections;

    void add(Resources resources, int times) {
        cpuMillis += resources.cpuMillis() * times;
        memoryMb += resources.memoryMb() * times;
        accelerators += resources.accelerators() * times;
        slots += resources.slots() * times;
        connections += resources.connections() * times;
    }

    void add(Amounts other, int times) {
        cpuMillis += other.cpuMillis * times;
        memoryMb += other.memoryMb * times;
        accelerators += other.accelerators * times;
        slots += other.slots * times;
        connections += other.connections * times;
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
