package org.fuchsiawinch.replay.measure;

import java.util.List;
import java.util.Map;

import org.fuchsiawinch.replay.check.Promise;

/**
 * Figures of one replay. Times are in ms, shares between 0 and 1.
 *
 * @param policy name of the scheduling policy
 * @param seed seed of the protocol delays
 * @param jobs counts of jobs by outcome
 * @param completionMs completion time of each request from its first submit to its result
 * @param slowdownMean mean of completion time over true run time on a worker of speed 1.0
 * @param slowdownP95 95th percentile of the same
 * @param fragmentation time average over the trace of the share of free accelerators that the largest guaranteed
 *     shape can't use
 * @param strandedShare the share of all free accelerator time that the same shape can't use; unlike the average, it
 *     gives little weight to moments when hardly anything is free
 * @param strandedAccelerators time average of the number of free accelerators that the same shape can't use
 * @param fragmentationOverTime fragmentation as samples
 * @param guaranteedStartMs time from submit to start of submits within unused guarantees
 * @param guaranteedStartShareOfBound highest such time as a share of the reclaim bound, without excused ones
 * @param guaranteedStartsExcused starts past the bound that lost capacity, an outage or a spending limit accounts for
 * @param reclaimMs time from a decision to reclaim to the moment when nothing of the attempt holds capacity
 * @param largestJobWaitMs time from submit to first start of the largest jobs
 * @param lostWorkAcceleratorMs accelerator time whose progress was lost
 * @param spend spend of each workspace against its limit
 * @param promisesBroken count of violations of each promise
 */
public record Measures(
        String policy,
        long seed,
        JobCounts jobs,
        Distribution completionMs,
        double slowdownMean,
        double slowdownP95,
        double fragmentation,
        double strandedShare,
        double strandedAccelerators,
        List<FragmentationSample> fragmentationOverTime,
        Distribution guaranteedStartMs,
        double guaranteedStartShareOfBound,
        int guaranteedStartsExcused,
        Distribution reclaimMs,
        Distribution largestJobWaitMs,
        long lostWorkAcceleratorMs,
        List<WorkspaceSpend> spend,
        Map<Promise, Integer> promisesBroken) {

    /**
     * Copies the lists.
     */
    public Measures {
        fragmentationOverTime = List.copyOf(fragmentationOverTime);
        spend = List.copyOf(spend);
    }

    /**
     * Sums up all violations.
     *
     * @return their number
     */
    public int violationCount() {
        return promisesBroken.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Requests by outcome.
     *
     * @param submitted requests of callers
     * @param completed those with a result
     * @param cancelled those that their callers cancelled, and that have no result
     * @param refused those that were refused for good because of queue bounds or spending limits
     * @param impossible those that were told that they can never run
     * @param broken other ones without a result
     * @param open those that still ran or waited at the end
     * @param retries submits again after a refusal or an outage
     */
    public record JobCounts(
            int submitted,
            int completed,
            int cancelled,
            int refused,
            int impossible,
            int broken,
            int open,
            int retries) {}

    /**
     * Fragmentation at one moment.
     *
     * @param atMs time in ms
     * @param fragmentation share of free accelerators
     * @param freeAccelerators free accelerators
     */
    public record FragmentationSample(long atMs, double fragmentation, int freeAccelerators) {}

    /**
     * Spend of one workspace.
     *
     * @param workspace the workspace
     * @param totalMicros sum in millionths of the currency unit
     * @param highestPeriodMicros highest sum of one period
     * @param limitMicros limit of a period; -1 for none
     */
    public record WorkspaceSpend(String workspace, long totalMicros, long highestPeriodMicros, long limitMicros) {}
}
