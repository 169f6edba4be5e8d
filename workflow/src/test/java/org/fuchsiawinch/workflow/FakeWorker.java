package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.CellOwner;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import org.fuchsiawinch.workflow.owner.WorkerReport;

/** Simulated worker with an epoch fence, a lease, unacknowledged ends and restarts, on the virtual clock. */
final class FakeWorker {

    static final long STOP_MS = 300;

    /** Time in ms between two checkpoints of a run. */
    private static final long CHECKPOINT_MS = 1000;

    /** Time in ms that a run takes to resume from a checkpoint. */
    private static final long RESTORE_MS = 250;

    final WorkerId id;
    final String rack;
    final Map<TaskRun, Running> running = new HashMap<>();
    final List<TaskRun> startedRuns = new ArrayList<>();
    private final OwnerRig rig;
    private final List<WorkerReport.EndedRun> ended = new ArrayList<>();
    private final Map<TaskRef, Integer> barred =
            new TreeMap<>((left, right) -> left.toString().compareTo(right.toString()));
    Resources capacity = OwnerRig.WORKER;
    boolean silent;
    boolean losesStartAnswers;
    boolean failsAll;
    boolean hangs;
    /** Lost work in ms by run: runs without checkpoints that ended other than DONE, also gang members that waited. */
    final Map<TaskRun, Double> thrownAwayMs = new HashMap<>();

    /** Runs that report a fixed percentage. */
    final Map<TaskRun, Integer> stuck = new HashMap<>();

    double speed = 1;
    long incarnation = 1;
    long bornMs;
    long fence;
    private long leaseEndMs;
    private long sequence;

    /** A run in progress. Work is in ms on a worker of speed 1. */
    static final class Running {
        final TaskRun run;
        final double needMs;
        double doneMs;
        double rate;
        long sinceMs;
        boolean stopping;
        private int plan;

        private Running(TaskRun run, double needMs, double doneMs, long nowMs) {
            this.run = run;
            this.needMs = needMs;
            this.doneMs = doneMs;
            this.sinceMs = nowMs;
        }

        double doneMs(long nowMs) {
            return Math.min(needMs, doneMs + rate * (nowMs - sinceMs));
        }

        boolean partDone(long nowMs) {
            return doneMs(nowMs) >= needMs - 1e-6;
        }
    }

    FakeWorker(OwnerRig rig, WorkerId id, String rack) {
        this.rig = rig;
        this.id = id;
        this.rack = rack;
        this.bornMs = rig.nowMs - 5000;
    }

    long clockMs() {
        return rig.nowMs - bornMs;
    }

    /** Crashes the worker and restarts it at once under the same id. */
    void restart() {
        running.clear();
        ended.clear();
        barred.clear();
        incarnation++;
        bornMs = rig.nowMs;
        fence = 0;
        sequence = 0;
        leaseEndMs = 0;
    }

    StartOutcome start(long epoch, OwnerEffect.Start order) {
        if (silent) {
            return StartOutcome.UNANSWERED;
        }
        if (epoch < fence) {
            return StartOutcome.FENCED;
        }
        fence = epoch;
        leaseEndMs = Math.max(leaseEndMs, order.leaseEndMs());
        if (barred.getOrDefault(order.run().task(), 0) >= order.run().number()) {
            return StartOutcome.SUPERSEDED;
        }
        if (order.leaseEndMs() <= clockMs()) {
            return StartOutcome.EXPIRED;
        }
        if (!running.containsKey(order.run())) {
            begin(order.run(), order.checkpoint());
        }
        return losesStartAnswers ? StartOutcome.UNANSWERED : StartOutcome.STARTED;
    }

    /** Starts a run without checking the order, as when an order is carried out late. */
    void begin(TaskRun run) {
        begin(run, "");
    }

    private void begin(TaskRun run, String checkpoint) {
        double needMs = rig.truth.workMs(run.task());
        double keptMs = checkpoint.isEmpty() ? 0 : Double.parseDouble(checkpoint) * needMs - RESTORE_MS;
        Running state = new Running(run, needMs, keptMs, rig.nowMs);
        running.put(run, state);
        startedRuns.add(run);
        if (failsAll) {
            rig.later(50, () -> end(state, WorkerReport.RunEnd.FAILED));
            return;
        }
        if (hangs) {
            return;
        }
        if (rig.gangsEndTogether && rig.step(run.task()).gang()) {
            rig.joined(run);
        } else {
            rate(state, rig.farFactor(this, run.task()));
        }
    }

    /** Sets a run's rate of work from now on to the worker's speed divided by a factor. */
    void rate(Running state, double slowdown) {
        state.doneMs = state.doneMs(rig.nowMs);
        state.sinceMs = rig.nowMs;
        state.rate = speed / slowdown;
        int plan = ++state.plan;
        double failsAtMs = rig.truth.failsAt(state.run) * state.needMs;
        double untilMs = Math.min(state.needMs, Math.max(failsAtMs, 0));
        rig.later((long) Math.ceil(Math.max(0, untilMs - state.doneMs) / state.rate), () -> {
            if (state.plan == plan && running.get(state.run) == state) {
                reached(state, failsAtMs < state.needMs);
            }
        });
    }

    /** Changes the worker's speed, also for its current runs. */
    void turn(double newSpeed) {
        double before = speed;
        speed = newSpeed;
        for (Running state : running.values()) {
            if (state.rate > 0) {
                rate(state, before / state.rate);
            }
        }
    }

    private void reached(Running state, boolean fails) {
        if (fails) {
            end(state, WorkerReport.RunEnd.FAILED);
        } else if (rig.gangsEndTogether) {
            rig.partDone(state.run);
        } else {
            end(state, WorkerReport.RunEnd.DONE);
        }
    }

    void end(Running state, WorkerReport.RunEnd how) {
        if (running.remove(state.run, state)) {
            barred.merge(state.run.task(), state.run.number(), Math::max);
            ended.add(new WorkerReport.EndedRun(++sequence, state.run, how, checkpoint(state, 1)));
            boolean kept = how == WorkerReport.RunEnd.DONE
                    || rig.step(state.run.task()).checkpoints();
            if (!kept) {
                thrownAwayMs.put(state.run, state.doneMs(rig.nowMs));
            }
            if (how != WorkerReport.RunEnd.DONE && rig.gangsEndTogether) {
                rig.broken(state.run);
            }
        }
    }

    private String checkpoint(Running state, long intervalMs) {
        double savedMs = Math.floor(state.doneMs(rig.nowMs) / intervalMs) * intervalMs;
        return savedMs <= 0 || !rig.step(state.run.task()).checkpoints() ? "" : Double.toString(savedMs / state.needMs);
    }

    boolean stop(long epoch, OwnerEffect.Stop order) {
        if (silent || epoch < fence) {
            return false;
        }
        fence = epoch;
        barred.merge(order.run().task(), order.run().number(), Math::max);
        Running state = running.get(order.run());
        if (state != null && !state.stopping) {
            state.stopping = true;
            rig.later(rig.truth.stopMs(), () -> end(state, WorkerReport.RunEnd.STOPPED));
        }
        return true;
    }

    void renew(CellOwner asker, long epoch, OwnerEffect.Renew order) {
        long sentMs = rig.nowMs;
        if (silent) {
            rig.answer(asker, order.waitMs() + 700, new OwnerInput.RenewalFailed(id, false, "silent"));
            return;
        }
        if (epoch < fence) {
            rig.answer(asker, 2, new OwnerInput.RenewalFailed(id, true, "fence"));
            return;
        }
        fence = epoch;
        ended.removeIf(end -> end.sequence() <= order.acknowledged());
        order.leaseEndMs().ifPresent(end -> leaseEndMs = Math.max(leaseEndMs, end));
        wait(asker, sentMs, rig.nowMs + order.waitMs());
    }

    private void wait(CellOwner asker, long sentMs, long untilMs) {
        if (silent) {
            rig.answer(
                    asker, Math.max(0, untilMs - rig.nowMs) + 700, new OwnerInput.RenewalFailed(id, false, "silent"));
            return;
        }
        if (ended.isEmpty() && rig.nowMs < untilMs) {
            rig.later(Math.min(20, untilMs - rig.nowMs), () -> wait(asker, sentMs, untilMs));
            return;
        }
        List<WorkerReport.RunningTask> list = new ArrayList<>();
        running.forEach((run, state) ->
                list.add(new WorkerReport.RunningTask(run, checkpoint(state, CHECKPOINT_MS), percent(run, state))));
        rig.answer(
                asker,
                OwnerRig.LINK_MS,
                new OwnerInput.Renewed(
                        id, sentMs, new WorkerReport(incarnation, clockMs(), list, List.copyOf(ended), true)));
    }

    private int percent(TaskRun run, Running state) {
        if (stuck.containsKey(run)) {
            return stuck.get(run);
        }
        if (hangs) {
            return 10;
        }
        return (int) Math.min(100, 100 * Math.max(0, state.doneMs(rig.nowMs)) / state.needMs);
    }

    /** Ends all runs if the lease has expired, as a worker does on its own. */
    void expire() {
        if (clockMs() > leaseEndMs) {
            List.copyOf(running.values()).forEach(run -> end(run, WorkerReport.RunEnd.LEASE_EXPIRED));
        }
    }
}
