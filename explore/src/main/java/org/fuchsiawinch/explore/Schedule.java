package org.fuchsiawinch.explore;

import java.util.List;

import org.fuchsiawinch.model.WorkerSpec;

/**
 * Scenario of one run: the nodes, workers and jobs, and the events injected.
 *
 * @param seed seed of all random delays and losses
 * @param nodes number of node slots
 * @param workers the workers
 * @param jobs the jobs; each is submitted by a {@link ScheduleEvent.Submit}
 * @param events all events, in order of time
 * @param faultsEndMs virtual time after which no new faults are injected, in ms
 * @param endMs virtual time by which every job must be settled, in ms
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
