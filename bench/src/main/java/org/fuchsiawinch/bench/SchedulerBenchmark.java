package org.fuchsiawinch.bench;

import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the scheduler's decision time in microseconds, by number of workers and length of the queue. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgsAppend = "-Xmx1g")
@Warmup(iterations = 1, time = 1)
@Measurement(iterations = 2, time = 1)
public class SchedulerBenchmark {

    /** Number of workers. */
    @Param({"30", "300", "3000", "7600"})
    public int workers;

    /** Number of jobs that are submitted once the workers are loaded, each for all accelerators of a worker. */
    @Param({"0", "1000", "10000"})
    public int queue;

    private LoadedCell cell;

    /** Creates a scheduler with loaded workers and submits the jobs of the queue. */
    @Setup
    public void load() {
        cell = new LoadedCell(workers).fill().enqueue(queue);
    }

    /**
     * Submits a job that needs all accelerators of a worker and cancels it: two events.
     *
     * @return number of decisions
     */
    @Benchmark
    public int submitAndCancel() {
        return cell.submitAndCancel();
    }

    /**
     * Completes the ten parts of a gang and starts another: eleven events.
     *
     * @return number of decisions
     */
    @Benchmark
    public int completeAndStart() {
        return cell.completeAndStart();
    }

    /**
     * Handles the clock event that arrives once a second.
     *
     * @return number of decisions
     */
    @Benchmark
    public int tick() {
        return cell.tick();
    }
}
