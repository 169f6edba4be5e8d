package org.fuchsiawinch.explore;

import java.util.List;

import org.fuchsiawinch.model.WorkerSpec;

/**
 * One run of the explorer: what exists and what happens.
 *
 * @param seed source of all delays and losses
 * @param nodes number of node slots
 * @param workers the workers
 * @param jobs the jobs; each is submitted by a {@link ScheduleEvent.Submit}
 * @param events all events in order of time
 * @param faultsEndMs virtual time in ms after which nothing new goes wrong
 * @param endMs virtual time in ms at which everything must have settled
 */
record Schedule(
        long seed,
        int nodes,
        List<WorkerSpec> workers,
        List<JobPlan> jobs,
        List<ScheduleEvent> events,
        long faultsEndMs,
        long endMs) {

    Schedule {
        workers = List.copyOf(workers);
        jobs = List.copyOf(jobs);
        events = List.copyOf(events);
    }

    Schedule withEvents(List<ScheduleEvent> others) {
        return new Schedule(seed, nodes, workers, jobs, others, faultsEndMs, endMs);
    }
}
