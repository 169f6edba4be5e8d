package org.fuchsiawinch.core;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.JobId;

/**
 * Takes events of one cell and answers with decisions. The same events at the same times give the same decisions; there
 * is no other input. Not thread-safe: one thread owns a scheduler.
 */
public interface Scheduler {

    /**
     * Takes one event. A decision to start counts as done at once: its resources are in use from here on.
     *
     * @param event what happened
     * @param nowMs present time in ms since the epoch; never falls between calls
     * @return what to do, in order
     */
    List<Decision> decide(SchedulerEvent event, long nowMs);

    /**
     * Says why a job waits.
     *
     * @param job the job
     * @param nowMs present time in ms since the epoch
     * @return the reason, or empty if the job is not waiting
     */
    Optional<Reason> waitReason(JobId job, long nowMs);
}
