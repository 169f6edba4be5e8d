package org.fuchsiawinch.core.baseline;

import java.util.Collection;

import org.fuchsiawinch.model.JobSpec;

/** Policy by which waiting jobs are chosen to start. */
@FunctionalInterface
interface QueueDiscipline {

    /**
     * Starts jobs by calling the fleet.
     *
     * @param waiting jobs in order of arrival; not modified during the call
     * @param fleet workers and running attempts
     * @param nowMs present time in ms since the Unix epoch
     */
    void startJobs(Collection<JobSpec> waiting, Fleet fleet, long nowMs);
}
