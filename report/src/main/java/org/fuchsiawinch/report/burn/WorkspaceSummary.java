package org.fuchsiawinch.report.burn;

import java.util.Map;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.report.records.JobOutcome;

/**
 * Jobs of one workspace.
 *
 * @param workspace the workspace
 * @param outcomes number of jobs by outcome; outcomes without jobs are absent
 * @param completionMedianMs median time from submit to answer of jobs that ran, in ms; 0 without any
 * @param completionP95Ms 95th percentile of the same, in ms
 */
public record WorkspaceSummary(
        WorkspaceId workspace, Map<JobOutcome, Integer> outcomes, long completionMedianMs, long completionP95Ms) {

    /** Copies the map. */
    public WorkspaceSummary {
        outcomes = Map.copyOf(outcomes);
    }

    /** Returns the number of jobs with an outcome. */
    public int count(JobOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }
}
