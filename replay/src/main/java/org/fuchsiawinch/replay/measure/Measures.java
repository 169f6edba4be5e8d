package org.fuchsiawinch.replay.measure;

import java.util.List;
import java.util.Map;

import org.fuchsiawinch.replay.check.Promise;

/**
 * Measures of one replay. Times are in ms, shares between 0 and 1.
 *
 * @param policy name of the scheduling policy
 * @param seed seed of the protocol delays
 * @param jobs counts of jobs by outcome
 * @param completionMs completion time of each request from its first submit to its result
 * @param slowdownMean mean of completion time over true run time on a worker of speed 1.0
 * @param slowdownP95 95th percentile of this slowdown
 * @param fragmentation time average over the trace of the share of free accelerators that the largest guaranteed shape
 *     cannot use
 * @param strandedShare share of all free accelerator time that this shape cannot use; unlike the time average, it gives
 *     little weight to times when few accelerators are free
 * @param strandedAccelerators time average of the number of free accelerators that this shape cannot use
 * @param fragmentationOverTime samples of the fragmentation at a fixed interval
 * @param guaranteedStartMs time from submit to start of jobs covered by unused guarantees
 * @param guaranteedStartShareOfBound highest such time as a share of the reclaim bound, without excused starts
 * @param guaranteedStartsExcused number of starts beyond the bound for which lost capacity, a log outage, a quota or a
 *     spending limit accounts
 * @param reclaimMs time from the decision to reclaim an attempt until it no longer holds capacity
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
     * Returns the number of violations of all promises.
     *
     * @return number of violations
     */
    public int violationCount() {
        return promisesBroken.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Numbers of requests by outcome.
     *
     * @param submitted requests of callers
     * @param completed requests with a result
     * @param cancelled requests without a result that their callers cancelled
     * @param refused requests refused permanently because of queue bounds, spending limits or deadlines
     * @param impossible requests ended because they can never run
     * @param broken requests ended without a result for other reasons
     * @param open requests still running or waiting at the end
     * @param retries resubmissions after a refusal or an outage
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
     * Fragmentation at one point in time.
     *
     * @param atMs time in ms
     * @param fragmentation share of free accelerators that the largest guaranteed shape cannot use
     * @param freeAccelerators number of free accelerators
     */
    public record FragmentationSample(long atMs, double fragmentation, int freeAccelerators) {}

    /**
     * Spend of one workspace.
     *
     * @param workspace the workspace
     * @param totalMicros total spend in millionths of the currency unit
     * @param highestPeriodMicros highest spend of one period
     * @param limitMicros limit per period; -1 for none
     */
    public record WorkspaceSpend(String workspace, long totalMicros, long highestPeriodMicros, long limitMicros) {}
}
