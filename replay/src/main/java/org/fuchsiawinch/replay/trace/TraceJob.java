package org.fuchsiawinch.replay.trace;

import org.fuchsiawinch.model.JobSpec;

/**
 * Job as declared by its caller, with the true run time and memory, which become known only on the workers.
 *
 * @param spec the declared job
 * @param trueRunMs true run time in ms on a worker of speed 1.0
 * @param trueMemoryMb true peak memory of each part in MiB
 * @param checkpointMs time in ms to save a checkpoint
 * @param alwaysFails whether every attempt fails, on any worker
 */
public record TraceJob(JobSpec spec, long trueRunMs, int trueMemoryMb, long checkpointMs, boolean alwaysFails) {

    /** Default time in ms to save a checkpoint. */
    public static final long DEFAULT_CHECKPOINT_MS = 5_000;
}
