package org.fuchsiawinch.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.GuaranteeScheduler;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.AdmissionPolicy;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.FaultPolicy;
import org.fuchsiawinch.model.Guarantee;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.LendingPolicy;
import org.fuchsiawinch.model.Objective;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.PricePolicy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;

/**
 * Scheduler whose workers are loaded with running gangs, with a queue of further jobs. Every fifth worker has eight
 * accelerators; gangs without accelerators occupy most slots of all workers. Not thread-safe.
 */
final class LoadedCell {

    private static final int WORKSPACES = 240;
    private static final int WORKERS_PER_RACK = 40;
    private static final int DATA_CENTRES = 7;
    private static final int WORKERS_PER_ACCELERATED_WORKER = 5;
    private static final int TASKS_PER_WORKER = 24;
    private static final int GANG_PARTS = 10;
    private static final int ACCELERATORS = 8;
    private static final long RUN_MS = 4 * 3_600_000L;
    private static final Resources ACCELERATED_CAPACITY = new Resources(32_000, 131_072, ACCELERATORS, 32, 64);
    private static final Resources CPU_ONLY_CAPACITY = new Resources(32_000, 131_072, 0, 32, 64);
    private static final Resources CPU_ONLY_PART = new Resources(1_000, 2_048, 0, 1, 1);
    private static final Resources ACCELERATED_PART = new Resources(1_000, 4_096, 1, 1, 1);

    private final Scheduler scheduler = new GuaranteeScheduler();
    private final ArrayDeque<Decision.StartGang> cpuOnlyGangs = new ArrayDeque<>();
    private final Map<AttemptId, Decision.StartGang> acceleratedGangs = new HashMap<>();
    private final int workers;
    private long nowMs;
    private int jobs;
    private int tasks;

    LoadedCell(int workers) {
        this.workers = workers;
        send(new SchedulerEvent.PolicyChanged(policy()));
        for (int i = 0; i < workers; i++) {
            send(new SchedulerEvent.WorkerJoined(worker(i)));
        }
    }

    /** Returns the number of parts started so far. */
    int tasks() {
        return tasks;
    }

    /** Returns the number of jobs submitted so far. */
    int jobs() {
        return jobs;
    }

    /**
     * Submits one gang of one to eight accelerators for each worker that has them, and gangs without accelerators for
     * {@link #TASKS_PER_WORKER} tasks per worker.
     */
    LoadedCell fill() {
        int gangs = Math.max(1, workers / WORKERS_PER_ACCELERATED_WORKER);
        for (int i = 0; i < gangs; i++) {
            submit(acceleratedJob(1 + i % ACCELERATORS));
        }
        int cpuOnlyCount = workers * TASKS_PER_WORKER / GANG_PARTS;
        for (int i = 0; i < cpuOnlyCount; i++) {
            submit(job(new Shape(GANG_PARTS, CPU_ONLY_PART, Adjacency.DATA_CENTRE), true));
        }
        return this;
    }

    /** Submits a number of jobs that each need all accelerators of a worker; those that cannot start wait. */
    LoadedCell enqueue(int count) {
        for (int i = 0; i < count; i++) {
            submit(acceleratedJob(ACCELERATORS));
        }
        return this;
    }

    /** Submits a job that needs all accelerators of a worker and cancels it; returns the number of decisions. */
    int submitAndCancel() {
        JobSpec spec = acceleratedJob(ACCELERATORS);
        int decisions = submit(spec).size();
        return decisions + send(new SchedulerEvent.JobCancelled(spec.id())).size();
    }

    /** Completes the oldest gang without accelerators and starts another one; returns the number of decisions. */
    int completeAndStart() {
        Decision.StartGang oldest = cpuOnlyGangs.poll();
        int decisions = complete(oldest);
        return decisions
                + submit(job(new Shape(GANG_PARTS, CPU_ONLY_PART, Adjacency.DATA_CENTRE), true))
                        .size();
    }

    /** Completes a gang with accelerators, so that the waiting jobs are evaluated, and submits another job. */
    int completeAccelerated() {
        Decision.StartGang any = acceleratedGangs.values().iterator().next();
        acceleratedGangs.remove(any.attempt());
        int decisions = complete(any);
        return decisions + submit(acceleratedJob(ACCELERATORS)).size();
    }

    /** Advances the clock by 1 ms and handles a clock event; returns the number of decisions. */
    int tick() {
        nowMs += 1;
        return send(new SchedulerEvent.Tick()).size();
    }

    private int complete(Decision.StartGang start) {
        int decisions = 0;
        for (int part = 0; part < start.placements().size(); part++) {
            decisions += send(new SchedulerEvent.TaskCompleted(new TaskId(start.attempt(), part)))
                    .size();
        }
        return decisions;
    }

    private List<Decision> submit(JobSpec spec) {
        return send(new SchedulerEvent.JobSubmitted(spec));
    }

    private List<Decision> send(SchedulerEvent event) {
        List<Decision> decisions = scheduler.decide(event, nowMs);
        for (Decision decision : decisions) {
            if (decision instanceof Decision.StartGang start) {
                recordStart(start);
            }
        }
        return decisions;
    }

    private void recordStart(Decision.StartGang start) {
        tasks += start.placements().size();
        // Gangs with accelerators have at most eight parts.
        if (start.placements().size() == GANG_PARTS) {
            cpuOnlyGangs.add(start);
        } else {
            acceleratedGangs.put(start.attempt(), start);
        }
    }

    private JobSpec acceleratedJob(int parts) {
        return job(new Shape(parts, ACCELERATED_PART, Adjacency.WORKER), parts % 2 == 0);
    }

    private JobSpec job(Shape shape, boolean idempotent) {
        int number = jobs++;
        return new JobSpec(
                new JobId("job-" + number),
                workspaceId(number % WORKSPACES),
                "kind-" + number % 3,
                shape,
                RUN_MS,
                idempotent,
                true,
                Urgency.NORMAL,
                OptionalLong.empty());
    }

    private static WorkerSpec worker(int i) {
        int rack = i / WORKERS_PER_RACK;
        Resources capacity = i % WORKERS_PER_ACCELERATED_WORKER == 0 ? ACCELERATED_CAPACITY : CPU_ONLY_CAPACITY;
        return new WorkerSpec(
                new WorkerId("worker-" + i), "dc-" + rack % DATA_CENTRES, "rack-" + rack, capacity, 1.0 + i % 3);
    }

    private static WorkspaceId workspaceId(int number) {
        return new WorkspaceId("team-" + number);
    }

    private Policy policy() {
        Map<WorkspaceId, WorkspacePolicy> workspaces = new HashMap<>();
        int guaranteed = Math.min(WORKSPACES, workers / WORKERS_PER_ACCELERATED_WORKER / 2);
        for (int i = 0; i < WORKSPACES; i++) {
            List<Guarantee> guarantees = new ArrayList<>();
            if (i < guaranteed) {
                guarantees.add(new Guarantee(new Shape(4, ACCELERATED_PART, Adjacency.WORKER), 1));
            }
            workspaces.put(
                    workspaceId(i),
                    new WorkspacePolicy(guarantees, 1_000_000, 1_000_000, OptionalLong.of(1L << 50), 86_400_000));
        }
        return new Policy(
                1,
                new Objective(0.5, 0.5),
                workspaces,
                new LendingPolicy(true, 5_000, 30_000),
                new EstimatePolicy(0.9, 5, 0.1, 10, 4, 2),
                new FaultPolicy(3, 3, 600_000, 60_000),
                new AdmissionPolicy(1_000_000, 1_000),
                new PricePolicy(1_000_000, 500_000, 1_000));
    }
}
