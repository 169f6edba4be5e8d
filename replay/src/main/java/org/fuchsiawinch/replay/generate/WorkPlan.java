package org.fuchsiawinch.replay.generate;

import java.util.List;

import org.fuchsiawinch.model.Urgency;

/**
 * Ordinary load of one kind of work.
 *
 * @param workspace name of the workspace
 * @param kind name of the kind
 * @param sizes sizes of its gangs
 * @param perHour jobs an hour
 * @param minRunSeconds shortest true run time in s on a worker of speed 1.0
 * @param maxRunSeconds longest true run time in s on a worker of speed 1.0
 * @param nonIdempotentShare share of jobs that may not be run again, between 0 and 1
 * @param checkpointableShare share of the other jobs that can be checkpointed, between 0 and 1
 * @param urgency urgency of its jobs
 */
record WorkPlan(
        String workspace,
        String kind,
        List<GangSize> sizes,
        int perHour,
        int minRunSeconds,
        int maxRunSeconds,
        double nonIdempotentShare,
        double checkpointableShare,
        Urgency urgency) {}
