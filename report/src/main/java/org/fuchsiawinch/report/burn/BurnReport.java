package org.fuchsiawinch.report.burn;

import java.util.List;

import org.fuchsiawinch.report.records.SystemSample;

/**
 * Burn of all service levels and spending limits, with a summary of jobs and samples of the system.
 *
 * @param nowMs time of the report, in ms since the Unix epoch
 * @param currency currency of all amounts
 * @param serviceLevels burn of each service level, in ascending order of budget left
 * @param spends spend of each workspace of the document, sorted by name
 * @param workspaces summary of jobs for each workspace with records, sorted by name
 * @param samples samples of the system, oldest first
 * @param meanFragmentation time-weighted mean of fragmentation; 0 without samples
 */
public record BurnReport(
        long nowMs,
        String currency,
        List<ServiceLevelBurn> serviceLevels,
        List<SpendBurn> spends,
        List<WorkspaceSummary> workspaces,
        List<SystemSample> samples,
        double meanFragmentation) {

    /** Copies the lists. */
    public BurnReport {
        serviceLevels = List.copyOf(serviceLevels);
        spends = List.copyOf(spends);
        workspaces = List.copyOf(workspaces);
        samples = List.copyOf(samples);
    }

    /** Returns whether any alert of any service level is firing. */
    public boolean firing() {
        return serviceLevels.stream().anyMatch(ServiceLevelBurn::firing);
    }
}
