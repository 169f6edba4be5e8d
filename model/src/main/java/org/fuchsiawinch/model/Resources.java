package org.fuchsiawinch.model;

/**
 * Amounts of the five resources of a worker.
 *
 * @param cpuMillis processor time in thousandths of a core
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 * @param slots task slots
 * @param connections open connections
 */
public record Resources(int cpuMillis, int memoryMb, int accelerators, int slots, int connections) {

    /** Zero of every resource. */
    public static final Resources NONE = new Resources(0, 0, 0, 0, 0);

    /**
     * Adds two amounts.
     *
     * @param other the amount to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators,
                slots + other.slots,
                connections + other.connections);
    }

    /**
     * Subtracts an amount; components of the result may be negative.
     *
     * @param other the amount to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators,
                slots - other.slots,
                connections - other.connections);
    }

    /**
     * Multiplies each resource.
     *
     * @param factor the multiplier
     * @return the product
     */
    public Resources times(int factor) {
        return new Resources(
                cpuMillis * factor, memoryMb * factor, accelerators * factor, slots * factor, connections * factor);
    }

    /**
     * Returns whether this amount fits into the given one in all five resources.
     *
     * @param available the available amount
     * @return true if no resource exceeds the available amount
     */
    public boolean fitsIn(Resources available) {
        return cpuMillis <= available.cpuMillis
                && memoryMb <= available.memoryMb
                && accelerators <= available.accelerators
                && slots <= available.slots
                && connections <= available.connections;
    }
}
