package org.fuchsiawinch.core.baseline;

import java.util.Collection;

import org.fuchsiawinch.model.JobSpec;

/** Chooses which waiting jobs start now. */
@FunctionalInterface
interface QueueDiscipline {

    /**
     * Starts jobs through the fleet.
     *
     * @param waiting jobs in order of arrival; unchanged while this runs
     * @param fleet workers and running attempts
     * @param nowMs present time in ms since the epoch
     */
    void startJobs(Collection<JobSpec> waiting, Fleet fleet, long nowMs);
}
