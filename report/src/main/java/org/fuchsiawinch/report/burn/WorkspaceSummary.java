package org.fuchsiawinch.report.burn;

import java.util.Map;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.report.records.JobOutcome;

/**
 * Summary of the jobs of one workspace.
 *
 * @param workspace the workspace
 * @param outcomes number of jobs by outcome; outcomes without jobs are absent
 * @param completionMedianMs median time from submission to answer of the jobs that ran, in ms; 0 if none ran
 * @param completionP95Ms 95th percentile of the same time, in ms; 0 if none ran
 */
public record WorkspaceSummary(
        WorkspaceId workspace, Map<JobOutcome, Integer> outcomes, long completionMedianMs, long completionP95Ms) {

    /** Copies the map. */
    public WorkspaceSummary {
        outcomes = Map.copyOf(outcomes);
    }

    /** Returns the number of jobs with the given outcome. */
    public int count(JobOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }
}
