package org.fuchsiawinch.replay.trace;

import org.fuchsiawinch.model.JobSpec;

/**
 * A job as declared by its caller, with the true figures that only the workers find out.
 *
 * @param spec the declared job
 * @param trueRunMs true run time in ms on a worker of speed 1.0
 * @param trueMemoryMb true peak memory of each part in MiB
 * @param checkpointMs time in ms that saving the progress takes
 * @param alwaysFails whether each attempt fails, on whatever worker
 */
public record TraceJob(JobSpec spec, long trueRunMs, int trueMemoryMb, long checkpointMs, boolean alwaysFails) {

    /** Default time in ms that saving the progress takes. */
    public static final long DEFAULT_CHECKPOINT_MS = 5_000;
}
