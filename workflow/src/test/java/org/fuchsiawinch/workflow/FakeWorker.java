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

/** A worker that starts what it is given, with fence, leases, ends and lives, on the rig's clock. */
final class FakeWorker {

    static final long STOP_MS = 300;

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
    /** Runs that show a percentage and never end. */
    final Map<TaskRun, Integer> stuck = new HashMap<>();

    double speed = 1;
    long incarnation = 1;
    long bornMs;
    long fence;
    private long leaseEndMs;
    private long sequence;

    /** A run that goes on. */
    static final class Running {
        long startedMs;
        long endsMs;
        boolean stopping;
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

    /** Crashes, and starts again under the same id at once. */
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
            begin(order.run());
        }
        return losesStartAnswers ? StartOutcome.UNANSWERED : StartOutcome.STARTED;
    }

    /** Starts a run whose order was carried out late. */
    void begin(TaskRun run) {
        Running state = new Running();
        state.startedMs = rig.nowMs;
        state.endsMs = hangs ? Long.MAX_VALUE / 2 : rig.nowMs + Math.round(runMs(run) / speed);
        running.put(run, state);
        startedRuns.add(run);
        long delayMs = state.endsMs - rig.nowMs;
        if (failsAll) {
            rig.later(50, () -> end(run, state, WorkerReport.RunEnd.FAILED));
        } else if (!hangs) {
            rig.later(delayMs, () -> partDone(run, state));
        }
    }

    private void partDone(TaskRun run, Running state) {
        if (rig.gangsEndTogether && !rig.partsDone(run)) {
            rig.later(20, () -> partDone(run, state));
            return;
        }
        end(run, state, WorkerReport.RunEnd.DONE);
    }

    private long runMs(TaskRun run) {
        return rig.runMs(run.task());
    }

    private void end(TaskRun run, Running state, WorkerReport.RunEnd how) {
        if (running.remove(run, state)) {
            barred.merge(run.task(), run.number(), Math::max);
            ended.add(new WorkerReport.EndedRun(++sequence, run, how, ""));
        }
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
            rig.later(STOP_MS, () -> end(order.run(), state, WorkerReport.RunEnd.STOPPED));
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
        running.forEach((run, state) -> list.add(new WorkerReport.RunningTask(run, "", percent(run, state))));
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
        double done = (rig.nowMs - state.startedMs) * speed / runMs(run);
        return (int) Math.min(100, 100 * done);
    }

    /** Kills what runs once the lease is over, as a worker does by itself. */
    void expire() {
        if (clockMs() > leaseEndMs) {
            List.copyOf(running.keySet()).forEach(run -> end(run, running.get(run), WorkerReport.RunEnd.LEASE_EXPIRED));
        }
    }
}
