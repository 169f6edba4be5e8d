package org.fuchsiawinch.explore;

import java.util.List;

/**
 * What was seen of a schedule from outside the nodes.
 *
 * @param schedule the schedule
 * @param observations all observations in order of time
 * @param appended number of records in the log
 * @param endMs virtual time in ms at which the run ended
 */
record History(Schedule schedule, List<Observation> observations, int appended, long endMs) {

    History {
        observations = List.copyOf(observations);
    }

    /** Gives the observations of one kind, in order of time. */
    <T extends Observation> List<T> of(Class<T> kind) {
        return observations.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
