package org.fuchsiawinch.bench.owner;

import java.lang.management.ManagementFactory;

import com.sun.management.ThreadMXBean;
import org.HdrHistogram.Histogram;

/** Durations, processor time and allocated bytes of measured calls on the present thread. Not thread-safe. */
final class CallCosts {

    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_S = 1e9;
    private static final int DIGITS = 3;

    private final ThreadMXBean thread = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final Histogram nanos = new Histogram(DIGITS);
    private long processorNanos;
    private long allocatedBytes;

    void measure(Runnable call) {
        long bytes = thread.getCurrentThreadAllocatedBytes();
        long processor = thread.getCurrentThreadCpuTime();
        long start = System.nanoTime();
        call.run();
        nanos.recordValue(System.nanoTime() - start);
        processorNanos += thread.getCurrentThreadCpuTime() - processor;
        allocatedBytes += thread.getCurrentThreadAllocatedBytes() - bytes;
    }

    void reset() {
        nanos.reset();
        processorNanos = 0;
        allocatedBytes = 0;
    }

    /** Returns the costs as key=value pairs, with the processor time per second of simulated time. */
    String text(double simulatedS) {
        return String.format(
                "calls=%d p50Ms=%.3f p99Ms=%.2f maxMs=%.1f processorSPerS=%.3f allocatedMbPerS=%.1f",
                nanos.getTotalCount(),
                nanos.getValueAtPercentile(50) / NANOS_PER_MS,
                nanos.getValueAtPercentile(99) / NANOS_PER_MS,
                nanos.getMaxValue() / NANOS_PER_MS,
                processorNanos / NANOS_PER_S / simulatedS,
                allocatedBytes / 1e6 / simulatedS);
    }
}
