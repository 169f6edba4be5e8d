package org.fuchsiawinch.explore;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.worker.TaskReport;
import org.fuchsiawinch.protocol.worker.TaskState;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;
import org.fuchsiawinch.standin.worker.RunPlanner;
import org.fuchsiawinch.standin.worker.WorkerMachine;

/** Simulated worker VM across restarts; records observations of its parts. Not thread-safe. */
final class SimWorker {

    private final WorkerSpec spec;
    private final boolean fenced;
    private final long clockOffsetMs;
    private final Consumer<Observation> observer;
    private final Map<TaskId, TaskState> lastStates = new HashMap<>();
    private WorkerMachine machine;
    private boolean up = true;
    private boolean listed = true;
    private boolean listedLeaving;
    private int incarnation;

    SimWorker(WorkerSpec spec, boolean fenced, long clockOffsetMs, Consumer<Observation> observer) {
        this.spec = spec;
        this.fenced = fenced;
        this.clockOffsetMs = clockOffsetMs;
        this.observer = observer;
        this.machine = newMachine();
    }

    WorkerSpec spec() {
        return spec;
    }

    boolean up() {
        return up;
    }

    int incarnation() {
        return incarnation;
    }

    boolean listed() {
        return listed;
    }

    void listed(boolean value) {
        listed = value;
    }

    boolean listedLeaving() {
        return listedLeaving;
    }

    void leave(boolean announced, long nowMs) {
        listedLeaving = true;
        machine.leaving(announced);
        observer.accept(new Observation.WorkerLeaving(nowMs, spec.id()));
    }

    WorkerReply handle(WorkerCommand command, long nowMs) {
        advance(nowMs);
        WorkerReply reply = machine.handle(command, nowMs + clockOffsetMs);
        Optional<Resources> taken =
                command instanceof WorkerCommand.Prepare prepare ? Optional.of(prepare.resources()) : Optional.empty();
        observe(taken.orElse(Resources.NONE), nowMs);
        return reply;
    }

    void advance(long nowMs) {
        if (!up) {
            return;
        }
        machine.advance(nowMs + clockOffsetMs);
        observe(Resources.NONE, nowMs);
    }

    void stop(long nowMs) {
        advance(nowMs);
        lastStates.forEach((task, state) -> {
            if (!state.ended()) {
                observer.accept(new Observation.PartEnded(nowMs, spec.id(), task, TaskState.STOPPED));
            }
        });
        lastStates.clear();
        up = false;
        incarnation++;
    }

    void start(long nowMs) {
        if (up) {
            return;
        }
        up = true;
        listed = true;
        boolean replaced = listedLeaving;
        listedLeaving = false;
        machine = newMachine();
        if (replaced) {
            observer.accept(new Observation.WorkerBack(nowMs, spec.id()));
        }
    }

    private WorkerMachine newMachine() {
        return new WorkerMachine(spec, SimWorker::workOf, fenced);
    }

    private static RunPlanner.PlannedRun workOf(WorkerCommand.Prepare part) {
        byte[] answer = JobPlan.partAnswer(part.payload(), part.task().part());
        return new RunPlanner.PlannedRun(JobPlan.runMs(part.payload()), answer, Optional.empty(), 512);
    }

    private void observe(Resources taken, long nowMs) {
        List<TaskReport> reports = machine.reports();
        for (TaskReport report : reports) {
            TaskState before = lastStates.put(report.task(), report.state());
            if (before != report.state()) {
                observeChange(report, before, taken, nowMs);
            }
        }
        if (lastStates.size() > reports.size()) {
            lastStates.keySet().retainAll(reports.stream().map(TaskReport::task).toList());
        }
    }

    private void observeChange(TaskReport report, TaskState before, Resources taken, long nowMs) {
        TaskState state = report.state();
        if (before == null && state != TaskState.STOPPED) {
            observer.accept(new Observation.PartTaken(nowMs, spec.id(), report.task(), taken));
        }
        boolean ran = state != TaskState.PREPARED && state != TaskState.STOPPED;
        if (ran && before == TaskState.PREPARED) {
            observer.accept(new Observation.PartRan(nowMs, spec.id(), report.task()));
        }
        if (state.ended() && before != null) {
            observer.accept(new Observation.PartEnded(nowMs, spec.id(), report.task(), state));
        }
    }
}
