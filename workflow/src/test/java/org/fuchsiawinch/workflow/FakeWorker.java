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
    private static final long CHECKPOINT_INTERVAL_MS = 1000;

    /** Time in ms that a run takes to resume from a checkpoint. */
    private static final long RESTORE_MS = 250;

    final WorkerId id;
    final String rack;
    final Map<TaskRun, Running> running = new HashMap<>();
    final List<TaskRun> startedRuns = new ArrayList<>();
    private final OwnerHarness harness;
    private final List<WorkerReport.EndedRun> ended = new ArrayList<>();

    /** Highest number of a run that ended or was stopped, by task; start orders up to it are refused. */
    private final Map<TaskRef, Integer> highestBarredRun =
            new TreeMap<>((left, right) -> left.toString().compareTo(right.toString()));

    Resources capacity = OwnerHarness.WORKER_CAPACITY;
    boolean silent;

    /** Whether start orders stay without an answer, so far without a time-out either, and are not carried out. */
    boolean ignoresStarts;

    boolean losesStartReplies;
    boolean failsAllRuns;
    boolean hangs;
    /** Lost work in ms by run, for runs without checkpoints that did not end as DONE, waiting gang members included. */
    final Map<TaskRun, Double> wastedMs = new HashMap<>();

    /** Runs that report a fixed percentage. */
    final Map<TaskRun, Integer> frozenPercent = new HashMap<>();

    double speed = 1;
    long incarnation = 1;
    long startedMs;
    long fence;
    long leaseEndMs;
    private long sequence;

    /** A run in progress. Work is in ms on a worker of speed 1. */
    static final class Running {
        final TaskRun run;
        final double workMs;
        double doneMs;
        double rate;
        long rateSinceMs;
        boolean stopping;

        /** Incremented with each change of the rate, so that an end scheduled for an earlier rate has no effect. */
        private int rateVersion;

        private Running(TaskRun run, double workMs, double doneMs, long nowMs) {
            this.run = run;
            this.workMs = workMs;
            this.doneMs = doneMs;
            this.rateSinceMs = nowMs;
        }

        double doneMs(long nowMs) {
            return Math.min(workMs, doneMs + rate * (nowMs - rateSinceMs));
        }

        boolean workDone(long nowMs) {
            return doneMs(nowMs) >= workMs - 1e-6;
        }
    }

    FakeWorker(OwnerHarness harness, WorkerId id, String rack) {
        this.harness = harness;
        this.id = id;
        this.rack = rack;
        this.startedMs = harness.nowMs - 5000;
    }

    /** Returns the number of ends that the owner has not acknowledged. */
    int unacknowledgedEnds() {
        return ended.size();
    }

    long clockMs() {
        return harness.nowMs - startedMs;
    }

    /** Crashes the worker and restarts it at once under the same id. */
    void restart() {
        running.clear();
        ended.clear();
        highestBarredRun.clear();
        incarnation++;
        startedMs = harness.nowMs;
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
        if (highestBarredRun.getOrDefault(order.run().task(), 0) >= order.run().number()) {
            return StartOutcome.SUPERSEDED;
        }
        if (order.leaseEndMs() <= clockMs()) {
            return StartOutcome.EXPIRED;
        }
        if (!running.containsKey(order.run())) {
            begin(order.run(), order.checkpoint());
        }
        return losesStartReplies ? StartOutcome.UNANSWERED : StartOutcome.STARTED;
    }

    /** Starts a run without checking the order, as when an order is carried out late. */
    void begin(TaskRun run) {
        begin(run, "");
    }

    private void begin(TaskRun run, String checkpoint) {
        double workMs = harness.groundTruth.workMs(run.task());
        double resumedMs = checkpoint.isEmpty() ? 0 : Double.parseDouble(checkpoint) * workMs - RESTORE_MS;
        Running state = new Running(run, workMs, resumedMs, harness.nowMs);
        running.put(run, state);
        startedRuns.add(run);
        if (failsAllRuns) {
            harness.schedule(50, () -> end(state, WorkerReport.RunEnd.FAILED));
            return;
        }
        if (hangs) {
            return;
        }
        if (harness.gangsSynchronized && harness.step(run.task()).gang()) {
            harness.memberStarted(run);
        } else {
            setRate(state, harness.remoteFactor(this, run.task()));
        }
    }

    /** Sets a run's rate of work from now on to the worker's speed divided by a factor. */
    void setRate(Running state, double slowdown) {
        state.doneMs = state.doneMs(harness.nowMs);
        state.rateSinceMs = harness.nowMs;
        state.rate = speed / slowdown;
        int rateVersion = ++state.rateVersion;
        double failsAtMs = harness.groundTruth.failsAt(state.run) * state.workMs;
        double untilMs = Math.min(state.workMs, Math.max(failsAtMs, 0));
        harness.schedule((long) Math.ceil(Math.max(0, untilMs - state.doneMs) / state.rate), () -> {
            if (state.rateVersion == rateVersion && running.get(state.run) == state) {
                workReached(state, failsAtMs < state.workMs);
            }
        });
    }

    /** Changes the worker's speed, also for its current runs. */
    void changeSpeed(double newSpeed) {
        double before = speed;
        speed = newSpeed;
        for (Running state : running.values()) {
            if (state.rate > 0) {
                setRate(state, before / state.rate);
            }
        }
    }

    private void workReached(Running state, boolean fails) {
        if (fails) {
            end(state, WorkerReport.RunEnd.FAILED);
        } else if (harness.gangsSynchronized) {
            harness.memberFinished(state.run);
        } else {
            end(state, WorkerReport.RunEnd.DONE);
        }
    }

    void end(Running state, WorkerReport.RunEnd outcome) {
        if (running.remove(state.run, state)) {
            highestBarredRun.merge(state.run.task(), state.run.number(), Math::max);
            ended.add(new WorkerReport.EndedRun(++sequence, state.run, outcome, checkpoint(state, 1)));
            boolean saved = outcome == WorkerReport.RunEnd.DONE
                    || harness.step(state.run.task()).checkpoints();
            if (!saved) {
                wastedMs.put(state.run, state.doneMs(harness.nowMs));
            }
            if (outcome != WorkerReport.RunEnd.DONE && harness.gangsSynchronized) {
                harness.gangBroken(state.run);
            }
        }
    }

    private String checkpoint(Running state, long intervalMs) {
        double savedMs = Math.floor(state.doneMs(harness.nowMs) / intervalMs) * intervalMs;
        return savedMs <= 0 || !harness.step(state.run.task()).checkpoints()
                ? ""
                : Double.toString(savedMs / state.workMs);
    }

    boolean stop(long epoch, OwnerEffect.Stop order) {
        if (silent || epoch < fence) {
            return false;
        }
        fence = epoch;
        highestBarredRun.merge(order.run().task(), order.run().number(), Math::max);
        Running state = running.get(order.run());
        if (state != null && !state.stopping) {
            state.stopping = true;
            harness.schedule(harness.groundTruth.stopMs(), () -> end(state, WorkerReport.RunEnd.STOPPED));
        }
        return true;
    }

    void renew(CellOwner caller, long epoch, OwnerEffect.Renew order) {
        long sentMs = harness.nowMs;
        if (silent) {
            harness.answer(caller, order.waitMs() + 700, new OwnerInput.RenewalFailed(id, sentMs, false, "silent"));
            return;
        }
        if (epoch < fence) {
            harness.answer(caller, 2, new OwnerInput.RenewalFailed(id, sentMs, true, "fence"));
            return;
        }
        fence = epoch;
        ended.removeIf(end -> end.sequence() <= order.acknowledged());
        order.leaseEndMs().ifPresent(end -> leaseEndMs = Math.max(leaseEndMs, end));
        wait(caller, sentMs, harness.nowMs + order.waitMs());
    }

    private void wait(CellOwner caller, long sentMs, long untilMs) {
        if (silent) {
            harness.answer(
                    caller,
                    Math.max(0, untilMs - harness.nowMs) + 700,
                    new OwnerInput.RenewalFailed(id, sentMs, false, "silent"));
            return;
        }
        if (ended.isEmpty() && harness.nowMs < untilMs) {
            harness.schedule(Math.min(20, untilMs - harness.nowMs), () -> wait(caller, sentMs, untilMs));
            return;
        }
        List<WorkerReport.RunningTask> list = new ArrayList<>();
        running.forEach((run, state) -> list.add(
                new WorkerReport.RunningTask(run, checkpoint(state, CHECKPOINT_INTERVAL_MS), percent(run, state))));
        harness.answer(
                caller,
                OwnerHarness.LINK_LATENCY_MS,
                new OwnerInput.Renewed(
                        id, sentMs, new WorkerReport(incarnation, clockMs(), list, List.copyOf(ended), true)));
    }

    private int percent(TaskRun run, Running state) {
        if (frozenPercent.containsKey(run)) {
            return frozenPercent.get(run);
        }
        if (hangs) {
            return 10;
        }
        return (int) Math.min(100, 100 * Math.max(0, state.doneMs(harness.nowMs)) / state.workMs);
    }

    /** Ends all runs if the lease has expired, as a worker does on its own. */
    void expire() {
        if (clockMs() > leaseEndMs) {
            List.copyOf(running.values()).forEach(run -> end(run, WorkerReport.RunEnd.LEASE_EXPIRED));
        }
    }
}
