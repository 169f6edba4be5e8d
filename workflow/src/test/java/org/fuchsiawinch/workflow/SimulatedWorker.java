package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.fuchsiawinch.workflow.owner.WorkerReport;

/**
 * Simulated worker whose fence, marks, ends, numbering, lease and clock belong to one incarnation, and whose lease is
 * limited.
 */
final class SimulatedWorker {

    static final long MAX_LEASE_MS = 10_000;
    static final long CHECK_IN_INTERVAL_MS = 500;
    static final Resources CAPACITY = new Resources(16_000, 16_000, 4, 0, 0);
    private static final long STOP_MS = 300;
    private static final long GANG_START_TIMEOUT_MS = 3000;
    private static final long GANG_BREAK_MS = 200;
    private static final long WAIT_STEP_MS = 20;

    final WorkerId id;
    final Map<TaskRun, Run> running = new LinkedHashMap<>();
    final List<WorkerReport.EndedRun> ended = new ArrayList<>();
    final double clockRate;
    boolean up = true;
    boolean leaving;

    /** Capacity of the present process; the next one may have another. */
    Resources capacity = CAPACITY;

    /** Whether the worker cannot reach the store, so that its entry expires. */
    boolean cutFromStore;

    long incarnation;
    private final FaultSimulation simulation;
    private final String rack;
    private final Map<TaskRef, Integer> barred = new HashMap<>();
    private long startedMs;
    private long fence;
    private long leaseEndMs;
    private boolean lapsed = true;
    private long sequence;

    /** A run in progress; {@code fullMs} is its whole run time in ms. */
    static final class Run {
        final TaskRun id;
        final long fullMs;
        final boolean fails;
        long workSinceMs = -1;
        boolean stopping;

        private Run(TaskRun id, long fullMs, boolean fails) {
            this.id = id;
            this.fullMs = fullMs;
            this.fails = fails;
        }

        int percent(long nowMs) {
            return workSinceMs < 0 ? 0 : (int) Math.min(100, 100 * (nowMs - workSinceMs) / fullMs);
        }
    }

    SimulatedWorker(FaultSimulation simulation, WorkerId id, String rack, double clockRate) {
        this.simulation = simulation;
        this.id = id;
        this.rack = rack;
        this.clockRate = clockRate;
        this.startedMs = simulation.nowMs;
        this.incarnation = simulation.nowMs;
    }

    long clockMs() {
        return 1 + (long) ((simulation.nowMs - startedMs) * clockRate);
    }

    /** Writes the worker's entry at each interval while the worker is up. */
    void checkIn() {
        if (up && !cutFromStore && !simulation.store.down) {
            simulation.store.checkIn(
                    new WorkerRegistration(id, incarnation, "desk", rack, List.of("a", rack), capacity, leaving),
                    simulation.nowMs);
        }
        simulation.schedule(CHECK_IN_INTERVAL_MS, this::checkIn);
    }

    /** Ends the process with all its runs, and starts it again under the same id after a delay. */
    void crash(long downMs) {
        if (!up) {
            return;
        }
        up = false;
        List<TaskRun> lost = List.copyOf(running.keySet());
        running.clear();
        simulation.rules.forget(this);
        ended.clear();
        barred.clear();
        simulation.log(id + " down, loses " + lost);
        lost.forEach(this::breakGang);
        simulation.schedule(Math.max(1, downMs), this::startAgain);
    }

    private void startAgain() {
        up = true;
        leaving = false;
        incarnation = simulation.nowMs;
        startedMs = simulation.nowMs;
        fence = 0;
        sequence = 0;
        leaseEndMs = 0;
        lapsed = true;
        simulation.log(id + " up, incarnation " + incarnation);
    }

    StartOutcome start(long epoch, OwnerEffect.Start order) {
        if (epoch < fence) {
            return StartOutcome.FENCED;
        }
        fence = epoch;
        if (order.leaseEndMs() <= clockMs()) {
            return StartOutcome.EXPIRED;
        }
        extendLease(order.leaseEndMs());
        if (running.containsKey(order.run())) {
            return StartOutcome.STARTED;
        }
        if (barred.getOrDefault(order.run().task(), 0) >= order.run().number()) {
            return StartOutcome.SUPERSEDED;
        }
        StepSpec step = simulation.step(order.run().task());
        int used = running.keySet().stream()
                .mapToInt(run -> simulation.step(run.task()).perTask().accelerators())
                .sum();
        if (used + step.perTask().accelerators() > capacity.accelerators()) {
            return StartOutcome.NO_ROOM;
        }
        begin(order.run(), step);
        return StartOutcome.STARTED;
    }

    private void begin(TaskRun id, StepSpec step) {
        long fullMs = Math.max(50, Math.round(step.estimatedMs() * simulation.runTimeFactor(id)));
        Run run = new Run(id, fullMs, simulation.runFails(id));
        simulation.log(this.id + " begins " + id);
        simulation.rules.begins(this, id);
        running.put(id, run);
        if (!step.gang()) {
            work(run);
            return;
        }
        Map<Run, SimulatedWorker> members = simulation.members(id);
        if (members.size() == step.count()) {
            members.forEach((member, worker) -> worker.work(member));
        } else {
            simulation.schedule(GANG_START_TIMEOUT_MS, () -> {
                if (run.workSinceMs < 0) {
                    end(run, WorkerReport.RunEnd.GANG_INCOMPLETE);
                }
            });
        }
    }

    private void work(Run run) {
        run.workSinceMs = simulation.nowMs;
        simulation.schedule(run.fullMs, () -> finish(run));
    }

    private void finish(Run run) {
        if (running.get(run.id) != run) {
            return;
        }
        if (!simulation.step(run.id.task()).gang()) {
            end(run, run.fails ? WorkerReport.RunEnd.FAILED : WorkerReport.RunEnd.DONE);
            return;
        }
        if (run.fails) {
            end(run, WorkerReport.RunEnd.FAILED);
            return;
        }
        Map<Run, SimulatedWorker> members = simulation.members(run.id);
        boolean complete = members.size() == simulation.step(run.id.task()).count();
        if (complete && members.keySet().stream().allMatch(member -> member.percent(simulation.nowMs) == 100)) {
            members.forEach((member, worker) -> worker.end(member, WorkerReport.RunEnd.DONE));
        }
    }

    private void end(Run run, WorkerReport.RunEnd how) {
        if (!running.remove(run.id, run)) {
            return;
        }
        barred.merge(run.id.task(), run.id.number(), Math::max);
        WorkerReport.EndedRun end = new WorkerReport.EndedRun(++sequence, run.id, how, "");
        ended.add(end);
        simulation.log(id + " ends " + run.id + " " + how + " as " + sequence);
        simulation.rules.ended(this, end);
        if (how != WorkerReport.RunEnd.DONE) {
            breakGang(run.id);
        }
    }

    private void breakGang(TaskRun run) {
        if (simulation.step(run.task()).gang()) {
            simulation.schedule(GANG_BREAK_MS, () -> simulation
                    .members(run)
                    .forEach((member, worker) -> worker.end(member, WorkerReport.RunEnd.GANG_BROKEN)));
        }
    }

    boolean stop(long epoch, OwnerEffect.Stop order) {
        if (epoch < fence) {
            return false;
        }
        fence = epoch;
        barred.merge(order.run().task(), order.run().number(), Math::max);
        Run run = running.get(order.run());
        if (run != null && !run.stopping) {
            run.stopping = true;
            simulation.schedule(STOP_MS, () -> end(run, WorkerReport.RunEnd.STOPPED));
        }
        return true;
    }

    void renew(long epoch, OwnerEffect.Renew order, long sentMs, Consumer<OwnerInput> answer) {
        if (epoch < fence) {
            answer.accept(new OwnerInput.RenewalFailed(id, sentMs, true, "fence"));
            return;
        }
        fence = epoch;
        order.leaseEndMs().ifPresent(this::extendLease);
        ended.removeIf(end -> {
            boolean acknowledged = end.sequence() <= order.acknowledged();
            if (acknowledged) {
                simulation.log(id + " end " + end.sequence() + " of " + end.run() + " is acknowledged");
                simulation.rules.acknowledged(this, end);
            }
            return acknowledged;
        });
        answerWhenEnded(sentMs, simulation.nowMs + order.waitMs(), incarnation, answer);
    }

    private void answerWhenEnded(long sentMs, long untilMs, long atIncarnation, Consumer<OwnerInput> answer) {
        if (!up || incarnation != atIncarnation) {
            return;
        }
        if (ended.isEmpty() && simulation.nowMs < untilMs) {
            simulation.schedule(
                    Math.min(WAIT_STEP_MS, untilMs - simulation.nowMs),
                    () -> answerWhenEnded(sentMs, untilMs, atIncarnation, answer));
            return;
        }
        List<WorkerReport.RunningTask> list = running.values().stream()
                .map(run -> new WorkerReport.RunningTask(run.id, "", run.percent(simulation.nowMs)))
                .toList();
        answer.accept(new OwnerInput.Renewed(
                id, sentMs, new WorkerReport(incarnation, clockMs(), list, List.copyOf(ended), true)));
    }

    private void extendLease(long endMs) {
        long limitedMs = Math.min(endMs, clockMs() + MAX_LEASE_MS);
        if (limitedMs <= leaseEndMs || limitedMs <= clockMs()) {
            return;
        }
        leaseEndMs = limitedMs;
        lapsed = false;
        long atIncarnation = incarnation;
        long remainingMs = (long) Math.ceil((leaseEndMs - clockMs() + 1) / clockRate);
        simulation.schedule(remainingMs, () -> {
            if (up && incarnation == atIncarnation && !lapsed && clockMs() > leaseEndMs) {
                lapse();
            }
        });
    }

    private void lapse() {
        lapsed = true;
        simulation.log(id + " lease lapses");
        simulation.rules.lapsed(this);
        List.copyOf(running.values()).forEach(run -> end(run, WorkerReport.RunEnd.LEASE_EXPIRED));
    }
}
