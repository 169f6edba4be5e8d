package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.node.NodeSettings;

/** Generates schedules from seeds. Equal seeds give equal schedules. */
final class ScheduleGenerator {

    private static final Resources PART_RESOURCES = new Resources(1000, 1024, 1, 1, 1);
    private static final long FAULTS_START_MS = 4000;
    private static final long SETTLE_MS = 45_000;

    /** Maximum delay of a command that can still start a part, in ms: the time from placement to the start-by limit. */
    private static final long LATE_COMMAND_MS =
            NodeSettings.defaults(new NodeId("any"), 0).startTimeoutMs();

    /** Time until a disconnected owner has a successor, in ms: owner timeout, claim and inventory. */
    private static final long TAKEOVER_MS = 3500;

    private final SplittableRandom random;
    private final long seed;
    private final long faultsEndMs;
    private final List<ScheduleEvent> events = new ArrayList<>();
    private int nodes;
    private int workers;

    private ScheduleGenerator(long seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.faultsEndMs = 15_000 + random.nextInt(25_000);
    }

    static Schedule generate(long seed) {
        return new ScheduleGenerator(seed).schedule();
    }

    private Schedule schedule() {
        nodes = 3 + random.nextInt(3);
        workers = 4 + random.nextInt(5);
        List<WorkerSpec> specs = new ArrayList<>();
        for (int worker = 0; worker < workers; worker++) {
            Resources capacity = PART_RESOURCES.times(2 + random.nextInt(2));
            specs.add(new WorkerSpec(new WorkerId("w" + worker), "suva-1", "r" + worker % 2, capacity, 1.0));
        }
        List<JobPlan> jobs = generateJobs();
        int faults = 2 + random.nextInt(8);
        for (int fault = 0; fault < faults; fault++) {
            addFault(randomFaultTimeMs());
        }
        int races = random.nextInt(3);
        for (int race = 0; race < races; race++) {
            events.add(new ScheduleEvent.DocumentRace(randomFaultTimeMs(), 1 + random.nextInt(3)));
        }
        events.sort(Comparator.comparingLong(ScheduleEvent::atMs));
        return new Schedule(seed, nodes, specs, jobs, events, faultsEndMs, faultsEndMs + SETTLE_MS);
    }

    private List<JobPlan> generateJobs() {
        List<JobPlan> jobs = new ArrayList<>();
        int count = 6 + random.nextInt(12);
        for (int job = 0; job < count; job++) {
            long atMs = 2000 + random.nextLong(faultsEndMs - 4000);
            jobs.add(generateJob(job, atMs));
            events.add(new ScheduleEvent.Submit(atMs, job, 1 + random.nextInt(2), chance(8)));
            if (chance(12)) {
                events.add(new ScheduleEvent.Cancel(atMs + random.nextInt(5000), job));
            }
        }
        return jobs;
    }

    private JobPlan generateJob(int index, long atMs) {
        boolean idempotent = chance(50);
        boolean checkpointable = chance(30);
        int parts = chance(50) ? 1 : 2 + random.nextInt(3);
        long runMs = chance(20) ? 10 + random.nextInt(500) : 500 + random.nextInt(8000);
        OptionalLong deadline = OptionalLong.empty();
        if (!idempotent || chance(20)) {
            deadline = OptionalLong.of(chance(20) ? atMs + 4000 + random.nextInt(20_000) : atMs + 600_000);
        }
        JobSpec spec = new JobSpec(
                new JobId("j" + index),
                Simulation.WORKSPACE,
                "kind",
                new Shape(parts, PART_RESOURCES, Adjacency.DATA_CENTRE),
                runMs,
                idempotent,
                checkpointable,
                Urgency.NORMAL,
                deadline);
        return new JobPlan(spec, runMs);
    }

    private void addFault(long atMs) {
        switch (random.nextInt(18)) {
            case 0 -> events.add(new ScheduleEvent.LogOutage(atMs, 500 + random.nextInt(14_000)));
            case 1 ->
                events.add(new ScheduleEvent.LogSlow(atMs, 1000 + random.nextInt(8000), 100 + random.nextInt(1500)));
            case 2, 3 ->
                events.add(new ScheduleEvent.AppendFaults(
                        atMs,
                        2000 + random.nextInt(10_000),
                        random.nextInt(40),
                        random.nextInt(40),
                        random.nextInt(30)));
            case 4 -> events.add(new ScheduleEvent.NodePaused(atMs, randomNode(), 500 + random.nextInt(12_000)));
            case 5 -> events.add(new ScheduleEvent.NodeKilled(atMs, randomNode(), 500 + random.nextInt(8000)));
            case 6 -> addCombinedFaults(atMs);
            case 7 -> events.add(new ScheduleEvent.NodeDrained(atMs, randomNode()));
            case 8 -> events.add(new ScheduleEvent.NodeCutFromLog(atMs, randomNode(), 2000 + random.nextInt(15_000)));
            case 9 ->
                events.add(new ScheduleEvent.NodeCutFromWorkers(
                        atMs, randomNode(), randomWorkers(), 1000 + random.nextInt(12_000)));
            case 10 -> events.add(new ScheduleEvent.ConnectionSilent(atMs, randomNode(), random.nextInt(workers)));
            case 11 ->
                events.add(new ScheduleEvent.CommandFaults(
                        atMs,
                        2000 + random.nextInt(10_000),
                        random.nextInt(40),
                        random.nextInt(30),
                        random.nextInt(1500)));
            case 12 ->
                events.add(new ScheduleEvent.WorkerLeaves(
                        atMs, random.nextInt(workers), chance(50), 8000 + random.nextInt(10_000)));
            case 13 ->
                events.add(new ScheduleEvent.WorkerLost(
                        atMs, random.nextInt(workers), chance(50) ? 0 : 15_000 + random.nextInt(5000)));
            case 14 -> addOwnerFaultAfterSubmit();
            case 16 -> addStaleOwnerWithLateCommands();
            case 15 ->
                events.add(new ScheduleEvent.WorkerRestarted(atMs, random.nextInt(workers), random.nextInt(3000)));
            default -> events.add(new ScheduleEvent.ListLagged(atMs, 2000 + random.nextInt(10_000), 4000));
        }
    }

    /** Adds overlapping faults: the owner is paused, cut off or killed near another fault, or all are killed. */
    private void addCombinedFaults(long atMs) {
        int owner = ScheduleEvent.OWNER;
        long laterMs = atMs + random.nextInt(2500);
        switch (random.nextInt(6)) {
            case 0 -> {
                events.add(new ScheduleEvent.LogOutage(atMs, 3000 + random.nextInt(5000)));
                events.add(new ScheduleEvent.NodeKilled(laterMs, owner, 1000 + random.nextInt(4000)));
            }
            case 1 -> {
                events.add(new ScheduleEvent.NodeCutFromLog(atMs, owner, 6000 + random.nextInt(12_000)));
                events.add(new ScheduleEvent.NodeCutFromWorkers(
                        laterMs, random.nextInt(nodes), randomWorkers(), 6000 + random.nextInt(9000)));
            }
            case 2 -> {
                events.add(new ScheduleEvent.NodePaused(atMs, owner, 3000 + random.nextInt(9000)));
                events.add(new ScheduleEvent.WorkerLost(laterMs, random.nextInt(workers), 0));
            }
            case 3 -> events.add(new ScheduleEvent.AllNodesKilled(atMs, 1000 + random.nextInt(8000)));
            case 4 -> {
                events.add(new ScheduleEvent.NodeCutFromLog(atMs, owner, 6000 + random.nextInt(9000)));
                events.add(new ScheduleEvent.NodeKilled(laterMs + 2000, owner, 1000));
            }
            default -> {
                events.add(new ScheduleEvent.NodePaused(atMs, owner, 3000 + random.nextInt(9000)));
                events.add(new ScheduleEvent.WorkerRestarted(laterMs, random.nextInt(workers), random.nextInt(2000)));
            }
        }
    }

    /** Adds a fault of the owner just after a job is submitted, while the appends of its records are in flight. */
    private void addOwnerFaultAfterSubmit() {
        List<ScheduleEvent> submits =
                events.stream().filter(ScheduleEvent.Submit.class::isInstance).toList();
        long submitMs = submits.get(random.nextInt(submits.size())).atMs();
        int owner = ScheduleEvent.OWNER;
        if (chance(50)) {
            events.add(new ScheduleEvent.LogSlow(Math.max(0, submitMs - 500), 1500, 200 + random.nextInt(1000)));
        }
        long atMs = submitMs + random.nextInt(600);
        if (chance(60)) {
            events.add(new ScheduleEvent.NodeCutFromLog(atMs, owner, 5000 + random.nextInt(10_000)));
        } else {
            events.add(new ScheduleEvent.NodePaused(atMs, owner, 3000 + random.nextInt(9000)));
        }
    }

    /**
     * Adds an owner that is cut off from the log and keeps renewing leases, because it cannot read that it has a
     * successor, while commands of the successor arrive duplicated and late. The stale owner orders workers to stop and
     * forget runs that it does not know.
     */
    private void addStaleOwnerWithLateCommands() {
        List<ScheduleEvent> submits =
                events.stream().filter(ScheduleEvent.Submit.class::isInstance).toList();
        long submitMs = submits.get(random.nextInt(submits.size())).atMs();
        long cutMs = Math.max(FAULTS_START_MS, submitMs - TAKEOVER_MS - random.nextInt(2000));
        events.add(new ScheduleEvent.NodeCutFromLog(cutMs, ScheduleEvent.OWNER, 12_000 + random.nextInt(8000)));
        events.add(new ScheduleEvent.CommandFaults(
                cutMs + TAKEOVER_MS,
                6000,
                random.nextInt(20),
                50 + random.nextInt(50),
                1000 + random.nextLong(LATE_COMMAND_MS)));
    }

    private List<Integer> randomWorkers() {
        List<Integer> chosen = new ArrayList<>();
        for (int worker = 0; worker < workers; worker++) {
            if (chance(40)) {
                chosen.add(worker);
            }
        }
        return chosen;
    }

    private long randomFaultTimeMs() {
        return FAULTS_START_MS + random.nextLong(faultsEndMs - FAULTS_START_MS);
    }

    private int randomNode() {
        return chance(60) ? ScheduleEvent.OWNER : random.nextInt(nodes);
    }

    private boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }
}
