package org.fuchsiawinch.standin.worker;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.worker.TaskReport;
import org.fuchsiawinch.protocol.worker.TaskState;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;

/**
 * A stand-in worker without input or output. It starts what it is given, whether it fits or not; it keeps a fence for
 * each cell and ends parts whose lease lapses. Not thread-safe.
 */
public final class WorkerMachine {

    private final WorkerSpec spec;
    private final RunPlanner runPlanner;
    private final Map<CellId, Long> fences = new HashMap<>();
    private final Map<TaskId, Part> parts = new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
    private final boolean fenced;
    private boolean leaving;

    /**
     * Creates a worker that runs nothing.
     *
     * @param spec its description
     * @param runPlanner what it does with parts
     */
    public WorkerMachine(WorkerSpec spec, RunPlanner runPlanner) {
        this(spec, runPlanner, true);
    }

    /**
     * Creates a worker that runs nothing.
     *
     * @param spec its description
     * @param runPlanner what it does with parts
     * @param fenced whether it rejects epochs below the highest one seen; false only in tests
     */
    public WorkerMachine(WorkerSpec spec, RunPlanner runPlanner, boolean fenced) {
        this.spec = spec;
        this.runPlanner = runPlanner;
        this.fenced = fenced;
    }

    /**
     * Gives the description.
     *
     * @return the description
     */
    public WorkerSpec spec() {
        return spec;
    }

    /**
     * Sets whether the worker is about to leave.
     *
     * @param value true from the moment on which it takes no new parts
     */
    public void leaving(boolean value) {
        leaving = value;
    }

    /**
     * Says whether the worker is about to leave.
     *
     * @return true if it takes no new parts
     */
    public boolean leaving() {
        return leaving;
    }

    /**
     * Carries out a command.
     *
     * @param command the command
     * @param nowMs present time in ms since the epoch by the worker's own clock
     * @return the answer
     */
    public WorkerReply handle(WorkerCommand command, long nowMs) {
        advance(nowMs);
        Optional<WorkerReply.Rejection> rejection = carryOut(command, nowMs);
        advance(nowMs);
        return new WorkerReply(rejection, fences.getOrDefault(command.cell(), 0L), leaving, nowMs, reports());
    }

    /**
     * Ends the parts whose run is over or whose lease has lapsed.
     *
     * @param nowMs present time in ms since the epoch by the worker's own clock
     */
    public void advance(long nowMs) {
        parts.values().forEach(part -> part.advance(nowMs));
    }

    /**
     * Lists all parts that the worker holds.
     *
     * @return one report for each part
     */
    public List<TaskReport> reports() {
        return parts.values().stream().map(Part::report).toList();
    }

    /**
     * Sums up what the parts that have not ended were granted.
     *
     * @return the resources in use
     */
    public Resources used() {
        return parts.values().stream()
                .filter(part -> !part.state.ended())
                .map(part -> part.prepare.map(WorkerCommand.Prepare::resources).orElse(Resources.NONE))
                .reduce(Resources.NONE, Resources::plus);
    }

    private Optional<WorkerReply.Rejection> carryOut(WorkerCommand command, long nowMs) {
        if (fenced && command.epoch() < fences.getOrDefault(command.cell(), 0L)) {
            return Optional.of(WorkerReply.Rejection.STALE_EPOCH);
        }
        fences.merge(command.cell(), command.epoch(), Math::max);
        if (command instanceof WorkerCommand.Prepare prepare) {
            return prepare(prepare, nowMs);
        }
        if (command instanceof WorkerCommand.Release release) {
            return release(release, nowMs);
        }
        if (command instanceof WorkerCommand.Stop stop) {
            return stop(stop, nowMs);
        }
        if (command instanceof WorkerCommand.Forget forget) {
            return forget(forget);
        }
        WorkerCommand.Renew renew = (WorkerCommand.Renew) command;
        parts.values().forEach(part -> part.renew(renew.leaseUntilMs()));
        return Optional.empty();
    }

    private Optional<WorkerReply.Rejection> prepare(WorkerCommand.Prepare prepare, long nowMs) {
        Part known = parts.get(prepare.task());
        if (known != null) {
            return known.state == TaskState.PREPARED
                    ? Optional.empty()
                    : Optional.of(WorkerReply.Rejection.WRONG_STATE);
        }
        if (nowMs > prepare.startByMs()) {
            return Optional.of(WorkerReply.Rejection.TOO_LATE);
        }
        if (leaving) {
            return Optional.of(WorkerReply.Rejection.LEAVING);
        }
        parts.put(prepare.task(), new Part(prepare.task(), Optional.of(prepare), prepare.leaseUntilMs()));
        return Optional.empty();
    }

    private Optional<WorkerReply.Rejection> release(WorkerCommand.Release release, long nowMs) {
        Part part = parts.get(release.task());
        if (part == null) {
            return Optional.of(WorkerReply.Rejection.UNKNOWN_TASK);
        }
        if (part.state == TaskState.RUNNING || part.state == TaskState.COMPLETED) {
            return Optional.empty();
        }
        if (part.state != TaskState.PREPARED || part.prepare.isEmpty()) {
            return Optional.of(WorkerReply.Rejection.WRONG_STATE);
        }
        part.run(runPlanner.plan(part.prepare.get()), spec.speed(), nowMs);
        part.renew(release.leaseUntilMs());
        return Optional.empty();
    }

    private Optional<WorkerReply.Rejection> stop(WorkerCommand.Stop stop, long nowMs) {
        Part part = parts.computeIfAbsent(stop.task(), task -> new Part(task, Optional.empty(), nowMs));
        if (part.prepare.isEmpty()) {
            part.state = TaskState.STOPPED;
        }
        if (!part.state.ended()) {
            boolean save = stop.mode() == StopMode.CHECKPOINT && part.state == TaskState.RUNNING;
            part.state = save ? TaskState.CHECKPOINTED : TaskState.STOPPED;
        }
        return Optional.empty();
    }

    private Optional<WorkerReply.Rejection> forget(WorkerCommand.Forget forget) {
        Part part = parts.get(forget.task());
        if (part != null && !part.state.ended()) {
            return Optional.of(WorkerReply.Rejection.WRONG_STATE);
        }
        parts.remove(forget.task());
        return Optional.empty();
    }

    /** One part of a gang on this worker. */
    private static final class Part {
        private final TaskId task;
        private final Optional<WorkerCommand.Prepare> prepare;
        private long leaseUntilMs;
        private TaskState state = TaskState.PREPARED;
        private Optional<RunPlanner.PlannedRun> run = Optional.empty();
        private long endsMs = Long.MAX_VALUE;

        private Part(TaskId task, Optional<WorkerCommand.Prepare> prepare, long leaseUntilMs) {
            this.task = task;
            this.prepare = prepare;
            this.leaseUntilMs = leaseUntilMs;
        }

        private void run(RunPlanner.PlannedRun planned, double speed, long nowMs) {
            run = Optional.of(planned);
            state = TaskState.RUNNING;
            endsMs = nowMs + Math.round(planned.runMs() / speed);
        }

        private void renew(long untilMs) {
            leaseUntilMs = Math.max(leaseUntilMs, untilMs);
        }

        private void advance(long nowMs) {
            if (state.ended()) {
                return;
            }
            boolean done = state == TaskState.RUNNING && nowMs >= endsMs && endsMs <= leaseUntilMs;
            if (done) {
                boolean failed = run.flatMap(RunPlanner.PlannedRun::failure).isPresent();
                state = failed ? TaskState.FAILED : TaskState.COMPLETED;
                return;
            }
            if (nowMs > leaseUntilMs) {
                state = TaskState.STOPPED;
            }
        }

        private TaskReport report() {
            Optional<byte[]> answer =
                    state == TaskState.COMPLETED ? run.map(RunPlanner.PlannedRun::answer) : Optional.empty();
            Optional<TaskFailure> failure =
                    state == TaskState.FAILED ? run.flatMap(RunPlanner.PlannedRun::failure) : Optional.empty();
            Resources granted = prepare.map(WorkerCommand.Prepare::resources).orElse(Resources.NONE);
            Resources used = new Resources(
                    granted.cpuMillis(),
                    run.map(RunPlanner.PlannedRun::memoryMb).orElse(0),
                    granted.accelerators(),
                    granted.slots(),
                    granted.connections());
            return new TaskReport(task, state, used, answer, failure);
        }
    }
}
