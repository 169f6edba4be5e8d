package org.fuchsiawinch.report.burn;

import java.util.List;

import org.fuchsiawinch.report.records.SystemSample;

/**
 * A whole report.
 *
 * @param nowMs the moment it is made for, in ms since the epoch
 * @param currency currency of all amounts
 * @param objectives burn of each service level, the one with the least budget left first
 * @param spends spend of each workspace of the document, by name
 * @param workspaces jobs of each workspace with records, by name
 * @param samples samples of the system in the order of time
 * @param meanFragmentation fragmentation averaged over time; 0 without samples
 */
public record BurnReport(
        long nowMs,
        String currency,
        List<ObjectiveBurn> objectives,
        List<SpendBurn> spends,
        List<WorkspaceSummary> workspaces,
        List<SystemSample> samples,
        double meanFragmentation) {

    /** Copies the lists. */
    public BurnReport {
        objectives = List.copyOf(objectives);
        spends = List.copyOf(spends);
        workspaces = List.copyOf(workspaces);
        samples = List.copyOf(samples);
    }

    /** Returns whether an alert of any service level fires. */
    public boolean firing() {
        return objectives.stream().anyMatch(ObjectiveBurn::firing);
    }
}
