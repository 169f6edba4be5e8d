package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.fuchsiawinch.workflow.record.CellRecord;

/** Draws jobs and faults from a seed: in series and overlapping, any kind more than once. */
final class FaultSchedule {

    static final long QUIET_MS = 30_000;
    private static final long FIRST_MS = 2000;
    private static final int FAULTS_MS = 40_000;

    /** Time in ms from the last fault's start until all have ended, late orders included. */
    private static final long LONGEST_FAULT_MS = 14_000;

    private static final int NODES = 3;
    private static final int WORKERS = 6;

    private final FaultSimulation simulation;
    private final Random random;

    /** Whether nodes are suspended instead of frozen. */
    private final boolean suspends;

    private double failureShare = 0.05;

    FaultSchedule(long seed) {
        this(seed, false);
    }

    FaultSchedule(long seed, boolean suspends) {
        this.suspends = suspends;
        simulation = new FaultSimulation(seed, NODES, WORKERS);
        random = simulation.random;
    }

    FaultSimulation simulation() {
        return simulation;
    }

    /** Lets many runs fail, of jobs with two attempts each. */
    FaultSchedule withManyFailures() {
        failureShare = 0.35;
        simulation.maxAttempts = 2;
        return this;
    }

    /** Plays the schedule; throws {@link RunRules.Violation} at the first violated rule. */
    void play() {
        simulation.minRunTimeFactor = 0.6;
        simulation.runTimeFactorSpread = 0.8;
        simulation.failureShare = failureShare;
        int jobs = 8 + random.nextInt(8);
        for (int i = 0; i < jobs; i++) {
            String id = "job" + i;
            long atMs = FIRST_MS + random.nextInt(FAULTS_MS - 5000);
            simulation.schedule(atMs, () -> submit(id));
            if (random.nextInt(8) == 0) {
                simulation.schedule(
                        atMs + random.nextInt(5000), () -> simulation.store(new CellRecord.CancelRequested(id)));
            }
        }
        int faults = 8 + random.nextInt(24);
        for (int i = 0; i < faults; i++) {
            simulation.schedule(FIRST_MS + random.nextInt(FAULTS_MS), this::begin);
        }
        simulation.run(FIRST_MS + FAULTS_MS + LONGEST_FAULT_MS + QUIET_MS);
        simulation.rules.checkAllEnded();
    }

    private void submit(String id) {
        int runMs = 300 + random.nextInt(random.nextInt(4) == 0 ? 8000 : 3000);
        int accelerators = 1 + random.nextInt(2);
        switch (random.nextInt(4)) {
            case 0 -> simulation.submit(id, FaultSimulation.step(2 + random.nextInt(3), accelerators, runMs, true));
            case 1 ->
                simulation.submit(
                        id,
                        FaultSimulation.step(1 + random.nextInt(3), accelerators, runMs, false),
                        FaultSimulation.step(1 + random.nextInt(3), 1, runMs / 2, random.nextBoolean(), 0));
            default -> simulation.submit(id, FaultSimulation.step(1 + random.nextInt(5), accelerators, runMs, false));
        }
    }

    private SimulatedWorker worker() {
        return List.copyOf(simulation.workers.values()).get(random.nextInt(WORKERS));
    }

    private SimulatedNode node() {
        List<SimulatedNode> owners =
                simulation.nodes.stream().filter(SimulatedNode::owns).toList();
        return owners.isEmpty() || random.nextInt(4) == 0
                ? simulation.nodes.get(random.nextInt(NODES))
                : owners.get(random.nextInt(owners.size()));
    }

    private void begin() {
        switch (random.nextInt(14)) {
            case 0, 1 -> crash(worker(), 1);
            case 2 -> crash(worker(), 2 + random.nextInt(3));
            case 3 -> cutWorker(simulation.nodes, true, true);
            case 4 -> cutWorker(List.of(node()), random.nextBoolean(), true);
            case 5 -> cutWorker(simulation.nodes, false, true);
            case 6, 7 -> disturbCalls();
            case 8 -> kill();
            case 9 -> freeze();
            case 10 -> cutNodeFromStore();
            case 11 -> drain(worker());
            case 12 -> storeDown();
            default -> loseEntry(worker());
        }
    }

    private void crash(SimulatedWorker worker, int times) {
        long downMs = random.nextInt(3) == 0 ? 1 : random.nextInt(4000);
        simulation.fault(worker.id + " crashes, down for " + downMs + ", " + times + " times");
        worker.crash(downMs);
        if (times > 1) {
            simulation.schedule(downMs + 1 + random.nextInt(2500), () -> crash(worker, times - 1));
        }
    }

    private void cutWorker(List<SimulatedNode> from, boolean calls, boolean answers) {
        SimulatedWorker worker = worker();
        long forMs = 300 + random.nextInt(9000);
        List<String> links =
                from.stream().map(node -> SimulatedLinks.link(node, worker.id)).toList();
        simulation.fault("cut for " + forMs + " of " + links + (calls ? "" : " (answers only)"));
        if (calls) {
            simulation.links.cutCalls.addAll(links);
        }
        simulation.links.cutAnswers.addAll(answers ? links : List.of());
        simulation.schedule(forMs, () -> {
            simulation.links.cutCalls.removeAll(links);
            simulation.links.cutAnswers.removeAll(links);
        });
    }

    private void disturbCalls() {
        long forMs = 500 + random.nextInt(6000);
        SimulatedLinks links = simulation.links;
        List<Double> shares = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            shares.add(random.nextBoolean() ? 0 : 0.3 * random.nextDouble());
        }
        simulation.fault("for " + forMs + " late, lost, answers lost, reordered, late and lost appends: " + shares);
        change(links, shares, 1);
        simulation.schedule(forMs, () -> change(links, shares, -1));
    }

    private static void change(SimulatedLinks links, List<Double> shares, int sign) {
        links.late += sign * shares.get(0);
        links.lostCalls += sign * shares.get(1);
        links.lostAnswers += sign * shares.get(2);
        links.reordered += sign * shares.get(3);
        links.lateAppends += sign * shares.get(4);
        links.lostAppendAnswers += sign * shares.get(5);
    }

    private void kill() {
        SimulatedNode node = node();
        long downMs = 200 + random.nextInt(3000);
        simulation.fault(node.name + " killed for " + downMs);
        node.kill(downMs);
    }

    private void freeze() {
        SimulatedNode node = node();
        long forMs = 300 + random.nextInt(9000);
        simulation.fault(node.name + (suspends ? " suspended for " : " frozen for ") + forMs);
        if (suspends) {
            node.suspend(forMs);
        } else {
            node.freeze(forMs);
        }
    }

    private void cutNodeFromStore() {
        SimulatedNode node = node();
        long forMs = 500 + random.nextInt(9000);
        simulation.fault(node.name + " cut from the store for " + forMs);
        node.cutFromStore = true;
        simulation.schedule(forMs, () -> node.cutFromStore = false);
    }

    private void drain(SimulatedWorker worker) {
        if (!worker.up || worker.leaving) {
            return;
        }
        int forMs = 3000 + random.nextInt(7000);
        boolean entryVanishes = random.nextBoolean();
        simulation.fault(worker.id + " drains for " + forMs + (entryVanishes ? ", its entry vanishes" : ""));
        worker.leaving = true;
        long incarnation = worker.incarnation;
        if (entryVanishes) {
            simulation.schedule(600 + random.nextInt(forMs), () -> {
                if (worker.incarnation == incarnation) {
                    worker.cutFromStore = true;
                    simulation.store.removeEntry(worker.id);
                }
            });
        }
        int downMs = random.nextInt(4000);
        simulation.schedule(forMs, () -> {
            worker.cutFromStore = false;
            if (worker.up && worker.incarnation == incarnation) {
                simulation.store.removeEntry(worker.id);
                worker.crash(downMs);
            }
        });
    }

    private void storeDown() {
        long forMs = 300 + random.nextInt(6000);
        boolean expire = random.nextBoolean();
        simulation.fault("store down for " + forMs + (expire ? ", entries expire" : ""));
        simulation.store.down = true;
        simulation.schedule(forMs, () -> {
            simulation.store.down = false;
            if (!expire) {
                simulation.store.restartExpiry(simulation.nowMs);
            }
        });
    }

    private void loseEntry(SimulatedWorker worker) {
        long forMs = 200 + random.nextInt(6000);
        simulation.fault(worker.id + " cut from the store for " + forMs);
        worker.cutFromStore = true;
        simulation.schedule(forMs, () -> worker.cutFromStore = false);
    }
}
