package org.fuchsiawinch.core;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.JobId;

/**
 * Decides placements for one cell. Deterministic: the same events at the same times lead to the same decisions.
 * Implementations are not thread-safe and are confined to one thread.
 */
public interface Scheduler {

    /**
     * Applies one event. The resources of a gang count as used from the moment its start is decided.
     *
     * @param event what happened
     * @param nowMs present time in ms since the Unix epoch; never falls between calls
     * @return the decisions, in the order in which they are to be carried out
     */
    List<Decision> decide(SchedulerEvent event, long nowMs);

    /**
     * Returns the reason for which a job waits.
     *
     * @param job the job
     * @param nowMs present time in ms since the Unix epoch
     * @return the reason, or empty if the job is not waiting
     */
    Optional<Reason> waitReason(JobId job, long nowMs);
}
