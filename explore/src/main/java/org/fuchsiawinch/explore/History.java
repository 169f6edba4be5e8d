package org.fuchsiawinch.explore;

import java.util.List;

/**
 * Observations made outside the nodes during one schedule.
 *
 * @param schedule the schedule
 * @param observations all observations, in order of time
 * @param appended number of records appended to the log
 * @param endMs virtual time at which the run ended, in ms
 */
record History(Schedule schedule, List<Observation> observations, int appended, long endMs) {

    History {
        observations = List.copyOf(observations);
    }

    /** Returns the observations of one type, in order of time. */
    <T extends Observation> List<T> of(Class<T> kind) {
        return observations.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
