package org.fuchsiawinch.replay.generate;

import java.util.List;

import org.fuchsiawinch.model.Urgency;

/**
 * Base load of one kind of job.
 *
 * @param workspace name of the workspace
 * @param kind name of the kind
 * @param sizes sizes of its gangs
 * @param perHour mean number of jobs per hour
 * @param minRunSeconds shortest true run time in s on a worker of speed 1.0
 * @param maxRunSeconds longest true run time in s on a worker of speed 1.0
 * @param nonIdempotentShare share of non-idempotent jobs, between 0 and 1
 * @param checkpointableShare share of the idempotent jobs that can be checkpointed, between 0 and 1
 * @param urgency urgency of its jobs
 */
record Workload(
        String workspace,
        String kind,
        List<GangSize> sizes,
        int perHour,
        int minRunSeconds,
        int maxRunSeconds,
        double nonIdempotentShare,
        double checkpointableShare,
        Urgency urgency) {}
